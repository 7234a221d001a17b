// The workers that registered, each change shown only after a lag.
#pragma once

#include <QJsonObject>
#include <QObject>
#include <QString>

#include <functional>
#include <map>

namespace heathercross::standin {

/// Instances by id as callers see them.
class InstanceList : public QObject {
public:
  /// Shown is called with the whole instance when a change becomes visible.
  InstanceList(int LagMs, std::function<void(const QJsonObject &)> Shown)
      : LagMs_(LagMs), Shown_(std::move(Shown)) {}

  /// Takes a change; {"id","state"} alone keeps what else is known.
  void change(const QJsonObject &Instance);
  /// An instance as a worker registers itself in the store.
  static QJsonObject registration(const QJsonObject &Instance);

private:
  void show(const QJsonObject &Instance);

  int LagMs_;
  std::function<void(const QJsonObject &)> Shown_;
  std::map<QString, QJsonObject> Visible_;
};

} // namespace heathercross::standin
