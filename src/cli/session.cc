// Calls entry instances and prints their replies.
#include "cli/session.h"

#include "cli/errors.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QUrl>

#include <iostream>

namespace heathercross::cli {

namespace {

constexpr int FirstSuccessStatus = 200;
constexpr int FirstRedirectStatus = 300;
constexpr int FirstServerErrorStatus = 500;
constexpr int NotRunStatus = 503;
constexpr int WorkFailedStatus = 502;

/// Parses the body of a reply; returns an empty object if it isn't a JSON
/// object.
QJsonObject parseObject(const QByteArray &Body) {
  return QJsonDocument::fromJson(Body).object();
}

/// Returns the exit code for a reply whose status isn't 2xx: Unknown if a call
/// other than GET may have been executed, otherwise Refused.
ExitCode exitCodeFor(const std::string &Method, int Status) {
  const bool IsDefiniteFailure = Status < FirstServerErrorStatus ||
                                 Status == NotRunStatus ||
                                 Status == WorkFailedStatus;
  return IsDefiniteFailure || Method == "GET" ? ExitCode::Refused
                                              : ExitCode::Unknown;
}

[[noreturn]] void raiseNoReply(const std::string &Method,
                               const std::string &Address, http::Delivery D) {
  if (D == http::Delivery::NeverSent || Method == "GET")
    raise(CallFailed(ExitCode::Unreachable, "unreachable",
                     Address + " doesn't answer"));
  raise(CallFailed(ExitCode::Unknown, "unknown-outcome",
                   Address + " may have done it, but its answer was lost; the "
                             "command can safely be repeated"));
}

[[noreturn]] void raiseRefusal(const std::string &Method,
                               const http::Reply &R) {
  const QJsonObject Body = parseObject(R.Body_);
  const std::string Code = Body["error"].toString("refused").toStdString();
  const std::string Status = "HTTP status " + std::to_string(R.Status_);
  const auto Message = Body["message"].toString(Status.c_str()).toStdString();
  raise(CallFailed(exitCodeFor(Method, R.Status_), Code, Message));
}

std::string toCompactJson(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

http::Reply Session::call(const std::string &Address, http::Call C) {
  const std::string Method = C.Method_;
  C.Url_ = "http://" + Address + C.Url_;
  C.Timeout_ = Options_.Timeout_;
  C.NewConnection_ = true;
  if (!Options_.Token_.empty())
    C.Headers_.push_back("Authorization: Bearer " + Options_.Token_);
  http::Reply Result;
  QEventLoop Loop;
  Client_.send(std::move(C), [&](const http::Reply &R) {
    Result = R;
    Loop.quit();
  });
  Loop.exec();
  if (Result.Delivery_ != http::Delivery::Answered)
    raiseNoReply(Method, Address, Result.Delivery_);
  if (Result.Status_ < FirstSuccessStatus ||
      Result.Status_ >= FirstRedirectStatus)
    raiseRefusal(Method, Result);
  return Result;
}

QJsonObject Session::get(const std::string &Path) {
  return getFrom(Options_.Address_, Path);
}

QJsonObject Session::getFrom(const std::string &Address,
                             const std::string &Path) {
  http::Call C;
  C.Url_ = Path;
  return parseObject(call(Address, std::move(C)).Body_);
}

QByteArray Session::getRaw(const std::string &Path) {
  http::Call C;
  C.Url_ = Path;
  return call(Options_.Address_, std::move(C)).Body_;
}

QJsonObject Session::post(const std::string &Path, const QJsonObject &Body) {
  http::Call C;
  C.Method_ = "POST";
  C.Url_ = Path;
  C.Headers_ = {"Content-Type: application/json"};
  C.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  return parseObject(call(Options_.Address_, std::move(C)).Body_);
}

void Session::printRows(const std::string &Name, const QJsonArray &Rows,
                        const Columns &First) const {
  if (Options_.Json_)
    std::cout << toCompactJson({{QString::fromStdString(Name), Rows}}) << "\n";
  else
    std::cout << formatTable(Rows, First);
}

void Session::printObject(const QJsonObject &Object) const {
  if (Options_.Json_)
    std::cout << toCompactJson(Object) << "\n";
  else
    std::cout << QJsonDocument(Object).toJson().toStdString();
}

QJsonArray arrayField(const QJsonObject &Reply, const char *Name) {
  const QJsonValue Value = Reply[Name];
  if (!Value.isArray())
    raise(CallFailed(ExitCode::Refused, "bad-answer",
                     std::string("the answer has no list of ") + Name));
  return Value.toArray();
}

std::string percentEncode(const std::string &Text) {
  return QUrl::toPercentEncoding(QString::fromStdString(Text)).toStdString();
}

void printFailure(const Error &E, bool Json) {
  if (Json)
    std::cout << toCompactJson({{"error", E.code()}, {"message", E.what()}})
              << "\n";
  else
    std::cerr << "heathercross: " << E.code() << ": " << E.what() << "\n";
}

} // namespace heathercross::cli
