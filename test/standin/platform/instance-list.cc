// The workers that registered, each change shown only after a lag.
#include "instance-list.h"

#include <QJsonArray>
#include <QTimer>

namespace heathercross::standin {

void InstanceList::change(const QJsonObject &Instance) {
  if (LagMs_ == 0)
    return show(Instance);
  QTimer::singleShot(LagMs_, this, [this, Instance] { show(Instance); });
}

void InstanceList::show(const QJsonObject &Instance) {
  const QString Id = Instance["id"].toString();
  if (Instance["state"].toString() == "gone") {
    Visible_.erase(Id);
    Shown_(Instance);
    return;
  }
  QJsonObject &Known = Visible_[Id];
  for (auto At = Instance.begin(); At != Instance.end(); ++At)
    Known[At.key()] = At.value();
  if (!Known.contains("state"))
    Known["state"] = "live";
  Shown_(Known);
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
