// The registered workers; changes become visible after a lag.
#pragma once

#include <QJsonObject>
#include <QObject>
#include <QString>

#include <functional>
#include <map>

namespace heathercross::standin {

/// The visible instances by id.
class InstanceList : public QObject {
public:
  /// OnVisible is called with the complete instance when a change becomes
  /// visible.
  InstanceList(int LagMs, std::function<void(const QJsonObject &)> OnVisible)
      : LagMs_(LagMs), OnVisible_(std::move(OnVisible)) {}

  /// Applies a change after the lag; fields that Instance lacks keep their
  /// values.
  void change(const QJsonObject &Instance);
  /// Returns the registration row that a worker writes to the store.
  static QJsonObject registration(const QJsonObject &Instance);

private:
  void makeVisible(const QJsonObject &Instance);

  int LagMs_;
  std::function<void(const QJsonObject &)> OnVisible_;
  std::map<QString, QJsonObject> Visible_;
};

} // namespace heathercross::standin
