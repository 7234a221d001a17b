// Reading and writing of the agreed view's rows and of tickets.
#include "view/codec.h"

#include "core/json-place.h"
#include "heathercross/outcome.h"

#include <QCryptographicHash>
#include <QJsonArray>

#include <cstdio>

namespace heathercross::view {

namespace {

using heathercross::detail::nameOf;
using heathercross::detail::Names;
using heathercross::detail::valueOf;

constexpr Names<TicketState, 4> TicketStateNames{{
    {TicketState::Open, "open"},
    {TicketState::Accepted, "accepted"},
    {TicketState::Rejected, "rejected"},
    {TicketState::Conflicted, "conflicted"},
}};

constexpr Names<Vote, 2> VoteNames{{{Vote::Yes, "yes"}, {Vote::No, "no"}}};

constexpr Names<WaveMode, 3> WaveModeNames{{
    {WaveMode::Running, "running"},
    {WaveMode::Paused, "paused"},
    {WaveMode::Aborted, "aborted"},
}};

constexpr Names<InstanceState, 5> InstanceStateNames{{
    {InstanceState::Active, "active"},
    {InstanceState::Draining, "draining"},
    {InstanceState::Rebooting, "rebooting"},
    {InstanceState::Ejected, "ejected"},
    {InstanceState::Leaving, "leaving"},
}};

/// Whether fields that aren't known here are refused.
enum class Unknown : std::uint8_t { Tolerated, Refused };

template <class E, std::size_t N>
E wordAt(const JsonPlace &Place, const Names<E, N> &Table) {
  const auto Value = valueOf(Table, Place.text(MaxNameLength));
  if (!Value)
    Place.fail("not one of the known words");
  return *Value;
}

std::uint32_t countAt(const JsonPlace &Place, std::uint32_t Max) {
  return static_cast<std::uint32_t>(Place.number(0, Max));
}

TicketNumber ticketAt(const JsonPlace &Place, std::uint64_t Min = 0) {
  return TicketNumber(Place.number(Min, MaxTicketNumber));
}

void restrict(const JsonPlace &Place, Unknown Mode,
              std::initializer_list<std::string_view> Names) {
  if (Mode == Unknown::Refused)
    Place.allowOnly(Names);
}

bool flagAt(const JsonPlace &Place, std::string_view Name, bool Default) {
  const auto Found = Place.find(Name);
  return Found ? Found->boolean() : Default;
}

Pool poolAt(const JsonPlace &Place, Unknown Mode) {
  restrict(Place, Mode, {"name", "size", "spare", "may_overflow", "removed"});
  Pool P;
  P.Name_ = Place.field("name").id<PoolId>();
  P.Size_ = countAt(Place.field("size"), MaxPoolSize);
  P.Spare_ = flagAt(Place, "spare", false);
  P.MayOverflow_ = flagAt(Place, "may_overflow", true);
  P.Removed_ = flagAt(Place, "removed", false);
  return P;
}

Budget budgetAt(const JsonPlace &Place, Unknown Mode) {
  restrict(Place, Mode, {"pool", "min_available"});
  return {Place.field("pool").id<PoolId>(),
          countAt(Place.field("min_available"), MaxPoolSize)};
}

Wave waveAt(const JsonPlace &Place, Unknown Mode) {
  restrict(Place, Mode, {"name", "pool", "mode", "drain_limit_ms"});
  Wave W;
  W.Name_ = Place.field("name").id<WaveId>();
  W.Pool_ = Place.field("pool").id<PoolId>();
  if (const auto Found = Place.find("mode"))
    W.Mode_ = wordAt(*Found, WaveModeNames);
  if (const auto Found = Place.find("drain_limit_ms"))
    W.DrainLimit_ = Millis(
        Found->number(0, static_cast<std::uint64_t>(MaxDrainLimit.count())));
  return W;
}

Quota quotaAt(const JsonPlace &Place, Unknown Mode) {
  restrict(Place, Mode, {"team", "weight", "max_jobs"});
  Quota Q;
  Q.Team_ = Place.field("team").id<TeamId>();
  if (const auto Found = Place.find("weight"))
    Q.Weight_ = static_cast<std::uint32_t>(Found->number(1, MaxWeight));
  if (const auto Found = Place.find("max_jobs"))
    Q.MaxJobs_ = countAt(*Found, MaxJobsPerTeam);
  return Q;
}

/// Reads the one object that a row or a change holds under its kind.
Change changeAt(const JsonPlace &Place, Unknown Mode) {
  if (const auto Found = Place.find("pool"))
    return poolAt(*Found, Mode);
  if (const auto Found = Place.find("budget"))
    return budgetAt(*Found, Mode);
  if (const auto Found = Place.find("wave"))
    return waveAt(*Found, Mode);
  if (const auto Found = Place.find("quota"))
    return quotaAt(*Found, Mode);
  Place.fail("has no pool, budget, wave or quota");
}

Change onlyChangeAt(const JsonPlace &Place, Unknown Mode) {
  restrict(Place, Mode, {"pool", "budget", "wave", "quota"});
  if (Mode == Unknown::Refused && Place.fields(MaxChanges).size() > 1)
    Place.fail("has more than one object");
  return changeAt(Place, Mode);
}

bool isObjectKey(std::string_view Key) {
  const auto Slash = Key.find('/');
  if (Slash == std::string_view::npos)
    return false;
  const auto Kind = Key.substr(0, Slash);
  const bool Known =
      Kind == "pool" || Kind == "budget" || Kind == "wave" || Kind == "quota";
  return Known && isName(Key.substr(Slash + 1));
}

std::map<ObjectKey, TicketNumber> againstAt(const JsonPlace &Place) {
  std::map<ObjectKey, TicketNumber> Against;
  for (const auto &[Key, Version] : Place.fields(MaxAgainst)) {
    if (!isObjectKey(Key))
      Version.fail("not the key of an object");
    Against.emplace(ObjectKey(Key), ticketAt(Version));
  }
  return Against;
}

void requireDistinct(const JsonPlace &Place,
                     const std::vector<Change> &Changes) {
  std::map<ObjectKey, bool> Seen;
  for (const Change &C : Changes)
    if (!Seen.emplace(keyOf(C), true).second)
      Place.fail("changes " + keyOf(C).str() + " twice");
}

TicketText textAt(const JsonPlace &Place, Unknown Mode) {
  restrict(Place, Mode, {"changes", "against"});
  TicketText T;
  const JsonPlace Changes = Place.field("changes");
  for (const JsonPlace &Item : Changes.items(MaxChanges))
    T.Changes_.push_back(onlyChangeAt(Item, Mode));
  if (T.Changes_.empty())
    Changes.fail("empty");
  requireDistinct(Changes, T.Changes_);
  if (const auto Found = Place.find("against"))
    T.Against_ = againstAt(*Found);
  return T;
}

std::map<OperatorId, Vote> votesAt(const JsonPlace &Place) {
  std::map<OperatorId, Vote> Votes;
  for (const auto &[Name, Word] : Place.fields(MaxVotes))
    Votes.emplace(OperatorId(Name), wordAt(Word, VoteNames));
  return Votes;
}

/// A change as an object with its kind as the only field.
QJsonObject toJson(const Change &C) {
  struct KindOf {
    QString operator()(const Pool &) const { return "pool"; }
    QString operator()(const Budget &) const { return "budget"; }
    QString operator()(const Wave &) const { return "wave"; }
    QString operator()(const Quota &) const { return "quota"; }
  };
  const auto Body =
      std::visit([](const auto &Object) { return view::toJson(Object); }, C);
  return {{std::visit(KindOf(), C), Body}};
}

template <class Map> QJsonArray valuesOf(const Map &Objects) {
  QJsonArray Array;
  for (const auto &[Key, Object] : Objects)
    Array.append(toJson(Object));
  return Array;
}

} // namespace

std::string_view name(TicketState S) { return nameOf(TicketStateNames, S); }
std::string_view name(Vote V) { return nameOf(VoteNames, V); }
std::string_view name(WaveMode M) { return nameOf(WaveModeNames, M); }
std::string_view name(InstanceState S) { return nameOf(InstanceStateNames, S); }

ObjectKey keyOf(const Change &C) {
  struct Key {
    std::string operator()(const Pool &P) const {
      return "pool/" + P.Name_.str();
    }
    std::string operator()(const Budget &B) const {
      return "budget/" + B.Pool_.str();
    }
    std::string operator()(const Wave &W) const {
      return "wave/" + W.Name_.str();
    }
    std::string operator()(const Quota &Q) const {
      return "quota/" + Q.Team_.str();
    }
  };
  return ObjectKey(std::visit(Key(), C));
}

std::string rowKey(const ObjectKey &Object) {
  return std::string(ViewPrefix) + Object.str();
}

std::string rowKey(TicketNumber Number) {
  std::array<char, 32> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%08llu",
                static_cast<unsigned long long>(Number.value()));
  return std::string(TicketPrefix) + Digits.data();
}

QJsonObject toJson(const Pool &P) {
  return {{"name", jsonValue(P.Name_.str())},
          {"size", jsonValue(std::uint64_t{P.Size_})},
          {"spare", P.Spare_},
          {"may_overflow", P.MayOverflow_},
          {"removed", P.Removed_}};
}

QJsonObject toJson(const Budget &B) {
  return {{"pool", jsonValue(B.Pool_.str())},
          {"min_available", jsonValue(std::uint64_t{B.MinAvailable_})}};
}

QJsonObject toJson(const Wave &W) {
  return {{"name", jsonValue(W.Name_.str())},
          {"pool", jsonValue(W.Pool_.str())},
          {"mode", jsonValue(name(W.Mode_))},
          {"drain_limit_ms", static_cast<qint64>(W.DrainLimit_.count())}};
}

QJsonObject toJson(const Quota &Q) {
  return {{"team", jsonValue(Q.Team_.str())},
          {"weight", jsonValue(std::uint64_t{Q.Weight_})},
          {"max_jobs", jsonValue(std::uint64_t{Q.MaxJobs_})}};
}

QJsonObject toJson(const InstanceRow &I) {
  return {{"id", jsonValue(I.Name_.str())},
          {"pool", jsonValue(I.Pool_.str())},
          {"zone", jsonValue(I.Zone_.str())},
          {"rack", jsonValue(I.Rack_.str())},
          {"address", jsonValue(I.Address_)},
          {"state", jsonValue(name(I.State_))},
          {"done_wave", jsonValue(I.DoneWave_.str())}};
}

QJsonObject toJson(const TicketText &T) {
  QJsonArray Changes;
  for (const Change &C : T.Changes_)
    Changes.append(toJson(C));
  QJsonObject Against;
  for (const auto &[Key, Version] : T.Against_)
    Against[QString::fromStdString(Key.str())] = jsonValue(Version.value());
  return {{"changes", Changes}, {"against", Against}};
}

QJsonObject toJson(const Ticket &T) {
  QJsonObject Votes;
  for (const auto &[Operator, V] : T.Votes_)
    Votes[QString::fromStdString(Operator.str())] = jsonValue(name(V));
  return {{"number", jsonValue(T.Number_.value())},
          {"author", jsonValue(T.Author_.str())},
          {"text", toJson(T.Text_)},
          {"digest", jsonValue(T.Digest_)},
          {"state", jsonValue(name(T.State_))},
          {"votes", Votes},
          {"reason", jsonValue(T.Reason_)}};
}

QJsonObject toJson(const ViewObject &O) {
  QJsonObject Row = toJson(O.Object_);
  Row["ticket"] = jsonValue(O.Ticket_.value());
  return Row;
}

QJsonObject toJson(const View &V) {
  return {{"head", jsonValue(V.Head_.value())},
          {"pools", valuesOf(V.Pools_)},
          {"budgets", valuesOf(V.Budgets_)},
          {"waves", valuesOf(V.Waves_)},
          {"quotas", valuesOf(V.Quotas_)}};
}

std::string headText(TicketNumber Head) {
  return jsonText({{"ticket", jsonValue(Head.value())}});
}

ViewObject decodeViewObject(std::string_view Text) {
  const JsonPlace Row = JsonPlace::parse(Text, MaxTextSize);
  return {ticketAt(Row.field("ticket"), 1), changeAt(Row, Unknown::Tolerated)};
}

TicketNumber decodeHead(std::string_view Text) {
  return ticketAt(JsonPlace::parse(Text, MaxTextSize).field("ticket"));
}

Ticket decodeTicket(std::string_view Text) {
  const JsonPlace Row = JsonPlace::parse(Text, MaxTextSize);
  Ticket T;
  T.Number_ = ticketAt(Row.field("number"), 1);
  T.Author_ = Row.field("author").id<OperatorId>();
  T.Text_ = textAt(Row.field("text"), Unknown::Tolerated);
  T.Digest_ = Row.field("digest").name();
  T.State_ = wordAt(Row.field("state"), TicketStateNames);
  T.Votes_ = votesAt(Row.field("votes"));
  T.Reason_ = Row.field("reason").text(MaxReasonLength);
  return T;
}

InstanceRow decodeInstanceRow(std::string_view Text) {
  const JsonPlace Row = JsonPlace::parse(Text, MaxTextSize);
  InstanceRow I;
  I.Name_ = Row.field("id").id<InstanceId>();
  I.Pool_ = Row.field("pool").id<PoolId>();
  I.Zone_ = Row.field("zone").id<ZoneId>();
  I.Rack_ = Row.field("rack").id<RackId>();
  I.Address_ = Row.field("address").text(MaxAddressLength);
  I.State_ = wordAt(Row.field("state"), InstanceStateNames);
  I.DoneWave_ = Row.field("done_wave").idOrEmpty<WaveId>();
  return I;
}

TicketText decodeTicketText(std::string_view Text) {
  return textAt(JsonPlace::parse(Text, MaxTextSize), Unknown::Refused);
}

Submission decodeSubmission(std::string_view Body) {
  const JsonPlace Whole = JsonPlace::parse(Body, MaxTextSize);
  Whole.allowOnly({"number", "text"});
  // The text's places are named from the text on, as the operator wrote it.
  const JsonPlace Text(Whole.field("text").value(), "");
  return {ticketAt(Whole.field("number"), 1), textAt(Text, Unknown::Refused)};
}

Vote decodeVote(std::string_view Body) {
  const JsonPlace Whole = JsonPlace::parse(Body, MaxTextSize);
  Whole.allowOnly({"vote"});
  return wordAt(Whole.field("vote"), VoteNames);
}

std::string digestOf(const TicketText &T) {
  const auto Text = QByteArray::fromStdString(encode(T));
  return QCryptographicHash::hash(Text, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

} // namespace heathercross::view
