// HTTP messages of the stand-ins, their parser and serializer.
#include "standin/common/http.h"

#include <QList>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace heathercross::standin {
namespace {

constexpr qsizetype MaxHeaderBytes = qsizetype{64} * 1024;
constexpr qsizetype MaxBodyBytes = qsizetype{64} * 1024 * 1024;

const char *reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 404:
    return "Not Found";
  case 409:
    return "Conflict";
  case 412:
    return "Precondition Failed";
  case 500:
    return "Internal Server Error";
  case 503:
    return "Service Unavailable";
  default:
    return "Status";
  }
}

QByteArray headerValue(const HttpHeaders &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (std::string_view(Key.constData(), Key.size()) == Name)
      return Value;
  return {};
}

QByteArray toByteArray(std::string_view Text) {
  return {Text.data(), static_cast<qsizetype>(Text.size())};
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\r'))
    Text.remove_suffix(1);
  return Text;
}

/// Parses the header lines after the first line.
bool parseHeaders(std::string_view Lines, HttpHeaders &Headers) {
  while (!Lines.empty()) {
    const auto End = Lines.find("\r\n");
    const auto Line = Lines.substr(0, End);
    const auto Colon = Line.find(':');
    if (Colon == std::string_view::npos)
      return false;
    Headers.emplace_back(toByteArray(Line.substr(0, Colon)).toLower(),
                         toByteArray(trimmed(Line.substr(Colon + 1))));
    if (End == std::string_view::npos)
      break;
    Lines.remove_prefix(End + 2);
  }
  return true;
}

/// The parts that requests and responses have in common.
struct Message {
  std::string_view FirstLine_;
  HttpHeaders Headers_;
  qsizetype BodyOffset_ = 0;
  qsizetype BodyLength_ = 0;
};

ParseStatus parseMessage(const QByteArray &Buffer, Message &Parsed) {
  const std::string_view All(Buffer.constData(), Buffer.size());
  const auto HeadEnd = All.find("\r\n\r\n");
  if (HeadEnd == std::string_view::npos)
    return Buffer.size() > MaxHeaderBytes ? ParseStatus::Malformed
                                          : ParseStatus::Incomplete;
  const auto Head = All.substr(0, HeadEnd);
  const auto FirstEnd = std::min(Head.find("\r\n"), Head.size());
  Parsed.FirstLine_ = Head.substr(0, FirstEnd);
  const auto Rest =
      FirstEnd == Head.size() ? std::string_view() : Head.substr(FirstEnd + 2);
  if (!parseHeaders(Rest, Parsed.Headers_))
    return ParseStatus::Malformed;
  Parsed.BodyOffset_ = static_cast<qsizetype>(HeadEnd) + 4;
  Parsed.BodyLength_ =
      headerValue(Parsed.Headers_, "content-length").toLongLong();
  if (Parsed.BodyLength_ < 0 || Parsed.BodyLength_ > MaxBodyBytes)
    return ParseStatus::Malformed;
  return Buffer.size() < Parsed.BodyOffset_ + Parsed.BodyLength_
             ? ParseStatus::Incomplete
             : ParseStatus::Complete;
}

} // namespace

QByteArray HttpRequest::header(const char *Name) const {
  return headerValue(Headers_, Name);
}

QByteArray HttpRequest::parameter(const QByteArray &Name) const {
  for (const QByteArray &Part : Query_.split('&')) {
    const auto Equals = Part.indexOf('=');
    if (Equals >= 0 && Part.left(Equals) == Name)
      return QByteArray::fromPercentEncoding(Part.mid(Equals + 1));
  }
  return {};
}

ParseStatus extractRequest(QByteArray &Buffer, HttpRequest &Request) {
  Message Parsed;
  const ParseStatus Status = parseMessage(Buffer, Parsed);
  if (Status != ParseStatus::Complete)
    return Status;
  const auto MethodEnd = Parsed.FirstLine_.find(' ');
  const auto TargetEnd = Parsed.FirstLine_.find(' ', MethodEnd + 1);
  if (MethodEnd == std::string_view::npos ||
      TargetEnd == std::string_view::npos)
    return ParseStatus::Malformed;
  const auto Target =
      Parsed.FirstLine_.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1);
  const auto QueryMark = std::min(Target.find('?'), Target.size());
  Request.Method_ = toByteArray(Parsed.FirstLine_.substr(0, MethodEnd));
  Request.Path_ = toByteArray(Target.substr(0, QueryMark));
  Request.Query_ = QueryMark == Target.size()
                       ? QByteArray()
                       : toByteArray(Target.substr(QueryMark + 1));
  Request.Headers_ = std::move(Parsed.Headers_);
  Request.Body_ = Buffer.mid(Parsed.BodyOffset_, Parsed.BodyLength_);
  Buffer.remove(0, Parsed.BodyOffset_ + Parsed.BodyLength_);
  return ParseStatus::Complete;
}

ParseStatus extractResponse(QByteArray &Buffer, HttpResponse &Response) {
  Message Parsed;
  const ParseStatus Status = parseMessage(Buffer, Parsed);
  if (Status != ParseStatus::Complete)
    return Status;
  const auto Space = Parsed.FirstLine_.find(' ');
  if (Space == std::string_view::npos)
    return ParseStatus::Malformed;
  Response.Status_ =
      toByteArray(Parsed.FirstLine_.substr(Space + 1, 3)).toInt();
  Response.Headers_ = std::move(Parsed.Headers_);
  Response.Close_ = headerValue(Response.Headers_, "connection").toLower() ==
                    QByteArray("close");
  Response.Body_ = Buffer.mid(Parsed.BodyOffset_, Parsed.BodyLength_);
  Buffer.remove(0, Parsed.BodyOffset_ + Parsed.BodyLength_);
  return ParseStatus::Complete;
}

QByteArray encode(const HttpResponse &Response) {
  QByteArray Out;
  Out.reserve(256 + Response.Body_.size());
  Out += "HTTP/1.1 " + QByteArray::number(Response.Status_) + ' ' +
         reasonPhrase(Response.Status_) + "\r\n";
  for (const auto &[Name, Value] : Response.Headers_)
    Out += Name + ": " + Value + "\r\n";
  if (Response.Close_)
    Out += "Connection: close\r\n";
  Out += "Content-Length: " + QByteArray::number(Response.Body_.size()) +
         "\r\n\r\n";
  Out += Response.Body_;
  return Out;
}

HttpResponse jsonResponse(QByteArray Body, int Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.emplace_back("Content-Type", "application/json");
  Response.Body_ = std::move(Body);
  return Response;
}

} // namespace heathercross::standin
