// HTTP responses with a JSON body, and the status codes they use.
#pragma once

#include "heathercross/error.h"
#include "http/http-server.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace heathercross::daemon {

inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int Forbidden = 403;
inline constexpr int NotFound = 404;
inline constexpr int Conflict = 409;
inline constexpr int Unavailable = 503;

/// Returns a response with a JSON body.
inline http::Response jsonResponse(int Status, const QJsonObject &Body) {
  http::Response R;
  R.Status_ = Status;
  R.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  return R;
}

/// Returns a response that reports an error by its code and message.
inline http::Response errorResponse(int Status, const Error &E) {
  return jsonResponse(Status, {{"error", E.code()}, {"message", E.what()}});
}

} // namespace heathercross::daemon
