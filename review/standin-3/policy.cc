// A model of the placement service.
#include "policy.h"

#include <QCryptographicHash>
#include <QJsonDocument>

#include <algorithm>

namespace heathercross::review {

namespace {

constexpr int DecideMs = 20;
constexpr int ValidMs = 3000;

} // namespace

Policy::Policy(World &W, qsizetype AllowedPerStep, int EachMs)
    : World_(W), AllowedPerStep_(AllowedPerStep), EachMs_(EachMs),
      Server_([this](const standin::HttpRequest &R,
                     const standin::Responder &To) { serve(R, To); }) {
  Server_.listen(0);
}

QStringList Policy::allowed(const QString &Step) const {
  QStringList Ranked = Known_;
  std::ranges::sort(Ranked, {}, [&](const QString &Id) {
    return QCryptographicHash::hash((Step + Id).toUtf8(),
                                    QCryptographicHash::Md5);
  });
  return Ranked.mid(0, AllowedPerStep_);
}

void Policy::serve(const standin::HttpRequest &R,
                   const standin::Responder &To) {
  const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
  const QString Step = O["phase"].toString();
  const QJsonArray Asked = O["workers"].toArray();
  const QStringList May = allowed(Step);
  QJsonArray Allowed;
  for (const QJsonValue V : Asked)
    if (May.contains(V.toString()))
      Allowed.append(QJsonArray{V.toString(), "t-" + V.toString()});
  World_.record(QString("advise phase=%1 workers=%2 allowed=%3 of %4")
                    .arg(Step)
                    .arg(Asked.size())
                    .arg(Allowed.size())
                    .arg(May.join(',')));
  QTimer::singleShot(DecideMs + EachMs_ * static_cast<int>(Asked.size()), this,
                     [To, Allowed] {
                       To(standin::jsonResponse(
                           QJsonDocument(QJsonObject{{"allowed", Allowed},
                                                     {"valid_ms", ValidMs}})
                               .toJson(QJsonDocument::Compact)));
                     });
}

} // namespace heathercross::review
