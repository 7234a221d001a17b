// Serializes claims as JSON rows of the shared table.
#include "request/claim-row.h"

#include "heathercross/error.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include <algorithm>
#include <ranges>

namespace heathercross::request {

namespace {

constexpr heathercross::detail::Names<ClaimState, 5> StateNames{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Done, "done"},
    {ClaimState::Failed, "failed"},
    {ClaimState::NotRun, "not-run"},
    {ClaimState::Unknown, "unknown"},
}};

std::string percentEncode(const std::string &Text) {
  return QUrl::toPercentEncoding(QString::fromStdString(Text)).toStdString();
}

QString text(std::string_view S) {
  return QString::fromUtf8(S.data(), static_cast<qsizetype>(S.size()));
}

std::string text(const QJsonValue &V) { return V.toString().toStdString(); }

} // namespace

std::string claimKey(const TeamId &Team, const IdempotencyKey &Key) {
  return "claim/" + percentEncode(Team.str()) + "/" + percentEncode(Key.str());
}

std::string serializeClaim(const StoredClaim &Claim) {
  const ClaimRow &R = Claim.Row_;
  QJsonArray Workers;
  for (const InstanceId &W : R.Workers_)
    Workers.append(text(W.str()));
  QJsonArray Boots;
  for (const std::string &Boot : R.Boots_)
    Boots.append(text(Boot));
  const QJsonObject O{
      {"attempt", text(R.Attempt_.str())},
      {"digest", text(R.Digest_)},
      {"workers", Workers},
      {"boots", Boots},
      {"state", text(heathercross::detail::nameOf(StateNames, R.State_))},
      {"entry", text(R.Entry_.str())},
      {"answer", text(R.Answer_)},
      {"body", QString::fromLatin1(Claim.Body_.toBase64())}};
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

StoredClaim parseClaim(const Row &Stored) {
  const auto Document =
      QJsonDocument::fromJson(QByteArray::fromStdString(Stored.Value_));
  if (!Document.isObject())
    raise(FormatError(Stored.Key_, "is not a JSON object"));
  const QJsonObject O = Document.object();
  const auto State =
      heathercross::detail::valueOf(StateNames, text(O["state"]));
  if (!State)
    raise(FormatError(Stored.Key_ + ".state", "is not a state of a claim"));
  StoredClaim Claim;
  Claim.Row_ = {AttemptId(text(O["attempt"])),
                text(O["digest"]),
                {},
                *State,
                EntryId(text(O["entry"])),
                text(O["answer"]),
                Stored.Version_};
  std::ranges::transform(
      O["workers"].toArray(), std::back_inserter(Claim.Row_.Workers_),
      [](const QJsonValue &V) { return InstanceId(text(V)); });
  std::ranges::transform(O["boots"].toArray(),
                         std::back_inserter(Claim.Row_.Boots_),
                         [](const QJsonValue &V) { return text(V); });
  Claim.Body_ = QByteArray::fromBase64(O["body"].toString().toLatin1());
  return Claim;
}

} // namespace heathercross::request
