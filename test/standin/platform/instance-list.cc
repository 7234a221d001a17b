// The instance list, which shows each change only after a lag.
#include "instance-list.h"

#include <QJsonDocument>
#include <QTimer>

namespace heathercross::standin {

void InstanceList::change(const QJsonObject &Instance) {
  if (LagMs_ == 0)
    return show(Instance);
  QTimer::singleShot(LagMs_, this, [this, Instance] { show(Instance); });
}

void InstanceList::show(const QJsonObject &Instance) {
  const QString Id = Instance["id"].toString();
  const auto Before = Visible_.find(Id);
  const QJsonObject Old =
      Before == Visible_.end() ? QJsonObject() : Before->second;
  if (Instance["state"].toString() == "gone") {
    Visible_.erase(Id);
  } else {
    QJsonObject &Known = Visible_[Id];
    for (auto At = Instance.begin(); At != Instance.end(); ++At)
      Known[At.key()] = At.value();
    if (!Known.contains("state"))
      Known["state"] = "live";
  }
  const auto After = Visible_.find(Id);
  const bool Changed =
      After == Visible_.end() ? !Old.isEmpty() : After->second != Old;
  Revision_ += Changed ? 1 : 0;
  Shown_(Instance);
}

QByteArray InstanceList::etag() const {
  return "\"" + QByteArray::number(static_cast<quint64>(Revision_)) + "\"";
}

QByteArray InstanceList::body() const {
  QJsonArray All;
  for (const auto &[Id, Instance] : Visible_)
    All.append(Instance);
  return QJsonDocument(QJsonObject{{"instances", All}})
      .toJson(QJsonDocument::Compact);
}

} // namespace heathercross::standin
