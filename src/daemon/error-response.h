// Typed failures as HTTP answers.
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

/// A JSON answer.
inline http::Response jsonResponse(int Status, const QJsonObject &Body) {
  http::Response R;
  R.Status_ = Status;
  R.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  return R;
}

/// The answer that reports a failure by its code and text.
inline http::Response errorResponse(int Status, const Error &E) {
  return jsonResponse(Status, {{"error", E.code()}, {"message", E.what()}});
}

} // namespace heathercross::daemon
