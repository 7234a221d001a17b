// HTTP messages of the stand-ins and the text that carries them.
#pragma once

#include <QByteArray>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::standin {

/// Header fields in order; the names of received ones are in lower case.
using HttpHeaders = std::vector<std::pair<QByteArray, QByteArray>>;

/// One request as it was received whole.
struct HttpRequest {
  QByteArray Method_;
  QByteArray Path_;
  QByteArray Query_;
  HttpHeaders Headers_;
  QByteArray Body_;

  /// The value of a header, given in lower case; empty when it is absent.
  QByteArray header(const char *Name) const;
  /// The decoded value of a parameter of the query; empty when it is absent.
  QByteArray parameter(const QByteArray &Name) const;
};

/// How the bytes of an answer are spoiled on their way, for tests.
enum class Spoil { None, CloseUnanswered, Truncate, Twice };

/// One answer.
struct HttpResponse {
  int Status_ = 200;
  HttpHeaders Headers_;
  QByteArray Body_;
  Spoil Spoil_ = Spoil::None;
  /// Whether the connection is closed after the answer.
  bool Close_ = false;
};

/// How far a buffer holds a message.
enum class ParseStatus { Incomplete, Whole, Malformed };

/// Takes one request off the front of a buffer when it is there whole.
ParseStatus takeRequest(QByteArray &Buffer, HttpRequest &Request);

/// Takes one answer off the front of a buffer when it is there whole.
ParseStatus takeResponse(QByteArray &Buffer, HttpResponse &Response);

/// The bytes of an answer, before any spoiling.
QByteArray encode(const HttpResponse &Response);

/// An answer with a JSON body.
HttpResponse jsonResponse(QByteArray Body, int Status = 200);

} // namespace heathercross::standin
