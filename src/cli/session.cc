// Calls to entry instances, and printing of what they answer.
#include "cli/session.h"

#include "cli/errors.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QUrl>

#include <iostream>

namespace heathercross::cli {

namespace {

constexpr int FirstGood = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerFault = 500;
constexpr int NotRunStatus = 503;
constexpr int WorkFailedStatus = 502;

/// An answer's body as an object; empty when it is something else.
QJsonObject objectOf(const QByteArray &Body) {
  return QJsonDocument::fromJson(Body).object();
}

/// How a command ends whose call was answered with a status other than 2xx.
ExitCode exitFor(const std::string &Method, int Status) {
  const bool DidNothing = Status < FirstServerFault || Status == NotRunStatus ||
                          Status == WorkFailedStatus;
  return DidNothing || Method == "GET" ? ExitCode::Refused : ExitCode::Unknown;
}

[[noreturn]] void raiseUndelivered(const std::string &Method,
                                   const std::string &Address,
                                   http::Delivery D) {
  if (D == http::Delivery::NeverSent || Method == "GET")
    raise(CallFailed(ExitCode::Unreachable, "unreachable",
                     Address + " doesn't answer"));
  raise(CallFailed(ExitCode::Unknown, "unknown-outcome",
                   Address + " may have done it, but its answer was lost; "
                             "the same command may be given again"));
}

[[noreturn]] void raiseRefusal(const std::string &Method,
                               const http::Reply &R) {
  const QJsonObject Body = objectOf(R.Body_);
  const std::string Code = Body["error"].toString("refused").toStdString();
  const std::string Status = "HTTP status " + std::to_string(R.Status_);
  const auto Message = Body["message"].toString(Status.c_str()).toStdString();
  raise(CallFailed(exitFor(Method, R.Status_), Code, Message));
}

std::string compact(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

http::Reply Session::call(const std::string &Address, http::Call C) {
  const std::string Method = C.Method_;
  C.Url_ = "http://" + Address + C.Url_;
  C.Timeout_ = Options_.Timeout_;
  C.Fresh_ = true;
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
    raiseUndelivered(Method, Address, Result.Delivery_);
  if (Result.Status_ < FirstGood || Result.Status_ >= FirstRedirect)
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
  return objectOf(call(Address, std::move(C)).Body_);
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
  return objectOf(call(Options_.Address_, std::move(C)).Body_);
}

void Session::printRows(const std::string &Name, const QJsonArray &Rows,
                        const Columns &First) const {
  if (Options_.Json_)
    std::cout << compact({{QString::fromStdString(Name), Rows}}) << "\n";
  else
    std::cout << formatTable(Rows, First);
}

void Session::printObject(const QJsonObject &Object) const {
  if (Options_.Json_)
    std::cout << compact(Object) << "\n";
  else
    std::cout << QJsonDocument(Object).toJson().toStdString();
}

QJsonArray arrayAt(const QJsonObject &Answer, const char *Name) {
  const QJsonValue Value = Answer[Name];
  if (!Value.isArray())
    raise(CallFailed(ExitCode::Refused, "bad-answer",
                     std::string("the answer has no list of ") + Name));
  return Value.toArray();
}

std::string pathPart(const std::string &Text) {
  return QUrl::toPercentEncoding(QString::fromStdString(Text)).toStdString();
}

void printFailure(const Error &E, bool Json) {
  if (Json)
    std::cout << compact({{"error", E.code()}, {"message", E.what()}}) << "\n";
  else
    std::cerr << "heathercross: " << E.code() << ": " << E.what() << "\n";
}

} // namespace heathercross::cli
