// The registered workers; changes become visible after a lag.
#include "instance-list.h"

#include <QJsonArray>
#include <QTimer>

namespace heathercross::standin {

void InstanceList::change(const QJsonObject &Instance) {
  if (LagMs_ == 0)
    return makeVisible(Instance);
  QTimer::singleShot(LagMs_, this, [this, Instance] { makeVisible(Instance); });
}

void InstanceList::makeVisible(const QJsonObject &Instance) {
  const QString Id = Instance["id"].toString();
  if (Instance["state"].toString() == "gone") {
    Visible_.erase(Id);
    OnVisible_(Instance);
    return;
  }
  QJsonObject &Merged = Visible_[Id];
  for (auto It = Instance.begin(); It != Instance.end(); ++It)
    Merged[It.key()] = It.value();
  if (!Merged.contains("state"))
    Merged["state"] = "live";
  OnVisible_(Merged);
}

QJsonObject InstanceList::registration(const QJsonObject &Instance) {
  constexpr qint64 MilliPerCore = 1000;
  const bool Leaving = Instance["state"].toString() == "leaving";
  return {{"service", "workers"},
          {"addr", Instance["address"]},
          {"zone", Instance["zone"]},
          {"state", Leaving ? "draining" : "ready"},
          {"capacity",
           QJsonObject{{"cpu", Instance["cores"].toInteger() * MilliPerCore},
                       {"mem_mb", Instance["memory_mb"]},
                       {"gpus", 0}}},
          {"labels", QJsonArray{Instance["rack"]}}};
}

} // namespace heathercross::standin
