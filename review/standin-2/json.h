// Small helpers for the JSON bodies of the stand-ins.
#pragma once

#include "http/http-server.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace heathercross::review {

/// The JSON object in a body; empty if there is none.
inline QJsonObject objectOf(const QByteArray &Body) {
  return QJsonDocument::fromJson(Body).object();
}

inline QByteArray bytesOf(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact);
}

inline http::Response jsonResponse(int Status, const QJsonObject &O) {
  http::Response R;
  R.Status_ = Status;
  R.Body_ = bytesOf(O);
  return R;
}

} // namespace heathercross::review
