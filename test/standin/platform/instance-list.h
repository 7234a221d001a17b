// The instance list, which shows each change only after a lag.
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QObject>
#include <QString>

#include <cstdint>
#include <functional>
#include <map>

namespace heathercross::standin {

/// Instances by id as callers see them.
class InstanceList : public QObject {
public:
  /// Shown is called with each change when it becomes visible.
  InstanceList(int LagMs, std::function<void(const QJsonObject &)> Shown)
      : LagMs_(LagMs), Shown_(std::move(Shown)) {}

  /// Takes a change; {"id","state"} alone keeps what else is known.
  void change(const QJsonObject &Instance);
  /// The body of GET /instances.
  QByteArray body() const;
  /// Changes whenever the body does, for conditional reads.
  QByteArray etag() const;

private:
  void show(const QJsonObject &Instance);

  int LagMs_;
  std::function<void(const QJsonObject &)> Shown_;
  std::map<QString, QJsonObject> Visible_;
  std::uint64_t Revision_ = 0;
};

} // namespace heathercross::standin
