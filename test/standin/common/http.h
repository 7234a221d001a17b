// HTTP messages of the stand-ins, their parser and serializer.
#pragma once

#include <QByteArray>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::standin {

/// Header fields in order; the names of received fields are in lower case.
using HttpHeaders = std::vector<std::pair<QByteArray, QByteArray>>;

/// A complete received request.
struct HttpRequest {
  QByteArray Method_;
  QByteArray Path_;
  QByteArray Query_;
  HttpHeaders Headers_;
  QByteArray Body_;

  /// Returns the value of a header field, empty if absent. Name must be in
  /// lower case.
  QByteArray header(const char *Name) const;
  /// Returns the decoded value of a query parameter, empty if absent.
  QByteArray parameter(const QByteArray &Name) const;
};

/// Fault that a test injects into the transmission of a response.
enum class ResponseFault { None, CloseWithoutResponse, Truncate, SendTwice };

/// An HTTP response.
struct HttpResponse {
  int Status_ = 200;
  HttpHeaders Headers_;
  QByteArray Body_;
  ResponseFault Fault_ = ResponseFault::None;
  /// Whether the connection is closed after the response.
  bool Close_ = false;
};

/// Result of parsing a message at the front of a buffer.
enum class ParseStatus { Incomplete, Complete, Malformed };

/// Removes one request from the front of a buffer if it is complete.
ParseStatus extractRequest(QByteArray &Buffer, HttpRequest &Request);

/// Removes one response from the front of a buffer if it is complete.
ParseStatus extractResponse(QByteArray &Buffer, HttpResponse &Response);

/// Serializes a response, without applying its fault.
QByteArray encode(const HttpResponse &Response);

/// Makes a response with a JSON body.
HttpResponse jsonResponse(QByteArray Body, int Status = 200);

} // namespace heathercross::standin
