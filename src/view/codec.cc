// JSON encoding and decoding of the agreed view's rows and of tickets.
#include "view/codec.h"

#include "core/json-node.h"
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

/// How unknown fields of an object are handled.
enum class UnknownFields : std::uint8_t { Ignored, Rejected };

template <class E, std::size_t N>
E readEnum(const JsonNode &Node, const Names<E, N> &Table) {
  const auto Value = valueOf(Table, Node.text(MaxNameLength));
  if (!Value)
    Node.fail("is not one of the known words");
  return *Value;
}

std::uint32_t readCount(const JsonNode &Node, std::uint32_t Max) {
  return static_cast<std::uint32_t>(Node.number(0, Max));
}

TicketNumber readTicketNumber(const JsonNode &Node, std::uint64_t Min = 0) {
  return TicketNumber(Node.number(Min, MaxTicketNumber));
}

void checkFields(const JsonNode &Node, UnknownFields Mode,
                 std::initializer_list<std::string_view> Names) {
  if (Mode == UnknownFields::Rejected)
    Node.allowOnly(Names);
}

bool readBool(const JsonNode &Node, std::string_view Name, bool Default) {
  const auto Found = Node.find(Name);
  return Found ? Found->boolean() : Default;
}

Pool readPool(const JsonNode &Node, UnknownFields Mode) {
  checkFields(Node, Mode, {"name", "size", "spare", "may_overflow", "removed"});
  Pool P;
  P.Name_ = Node.field("name").id<PoolId>();
  P.Size_ = readCount(Node.field("size"), MaxPoolSize);
  P.Spare_ = readBool(Node, "spare", false);
  P.MayOverflow_ = readBool(Node, "may_overflow", true);
  P.Removed_ = readBool(Node, "removed", false);
  return P;
}

Budget readBudget(const JsonNode &Node, UnknownFields Mode) {
  checkFields(Node, Mode, {"pool", "min_available"});
  return {Node.field("pool").id<PoolId>(),
          readCount(Node.field("min_available"), MaxPoolSize)};
}

Wave readWave(const JsonNode &Node, UnknownFields Mode) {
  checkFields(Node, Mode, {"name", "pool", "mode", "drain_limit_ms"});
  Wave W;
  W.Name_ = Node.field("name").id<WaveId>();
  W.Pool_ = Node.field("pool").id<PoolId>();
  if (const auto Found = Node.find("mode"))
    W.Mode_ = readEnum(*Found, WaveModeNames);
  if (const auto Found = Node.find("drain_limit_ms"))
    W.DrainLimit_ = Millis(
        Found->number(0, static_cast<std::uint64_t>(MaxDrainLimit.count())));
  return W;
}

Quota readQuota(const JsonNode &Node, UnknownFields Mode) {
  checkFields(Node, Mode, {"team", "weight", "max_jobs"});
  Quota Q;
  Q.Team_ = Node.field("team").id<TeamId>();
  if (const auto Found = Node.find("weight"))
    Q.Weight_ = static_cast<std::uint32_t>(Found->number(1, MaxWeight));
  if (const auto Found = Node.find("max_jobs"))
    Q.MaxJobs_ = readCount(*Found, MaxJobsPerTeam);
  return Q;
}

/// Reads the object of a row or a change; its field name is the object's kind.
Change readChange(const JsonNode &Node, UnknownFields Mode) {
  if (const auto Found = Node.find("pool"))
    return readPool(*Found, Mode);
  if (const auto Found = Node.find("budget"))
    return readBudget(*Found, Mode);
  if (const auto Found = Node.find("wave"))
    return readWave(*Found, Mode);
  if (const auto Found = Node.find("quota"))
    return readQuota(*Found, Mode);
  Node.fail("has no pool, budget, wave or quota");
}

Change readSingleChange(const JsonNode &Node, UnknownFields Mode) {
  checkFields(Node, Mode, {"pool", "budget", "wave", "quota"});
  if (Mode == UnknownFields::Rejected && Node.fields(MaxChanges).size() > 1)
    Node.fail("has more than one object");
  return readChange(Node, Mode);
}

bool isObjectKey(std::string_view Key) {
  const auto Slash = Key.find('/');
  if (Slash == std::string_view::npos)
    return false;
  const auto Kind = Key.substr(0, Slash);
  const bool Valid =
      Kind == "pool" || Kind == "budget" || Kind == "wave" || Kind == "quota";
  return Valid && isName(Key.substr(Slash + 1));
}

std::map<ObjectKey, TicketNumber> readBaseVersions(const JsonNode &Node) {
  std::map<ObjectKey, TicketNumber> BaseVersions;
  for (const auto &[Key, Version] : Node.fields(MaxBaseVersions)) {
    if (!isObjectKey(Key))
      Version.fail("is not the key of an object");
    BaseVersions.emplace(ObjectKey(Key), readTicketNumber(Version));
  }
  return BaseVersions;
}

void requireDistinct(const JsonNode &Node, const std::vector<Change> &Changes) {
  std::map<ObjectKey, bool> Seen;
  for (const Change &C : Changes)
    if (!Seen.emplace(keyOf(C), true).second)
      Node.fail("changes " + keyOf(C).str() + " twice");
}

TicketText readTicketText(const JsonNode &Node, UnknownFields Mode) {
  checkFields(Node, Mode, {"changes", "against"});
  TicketText T;
  const JsonNode Changes = Node.field("changes");
  for (const JsonNode &Item : Changes.items(MaxChanges))
    T.Changes_.push_back(readSingleChange(Item, Mode));
  if (T.Changes_.empty())
    Changes.fail("is empty");
  requireDistinct(Changes, T.Changes_);
  if (const auto Found = Node.find("against"))
    T.BaseVersions_ = readBaseVersions(*Found);
  return T;
}

std::map<OperatorId, Vote> readVotes(const JsonNode &Node) {
  std::map<OperatorId, Vote> Votes;
  for (const auto &[Name, Word] : Node.fields(MaxVotes))
    Votes.emplace(OperatorId(Name), readEnum(Word, VoteNames));
  return Votes;
}

/// Encodes a change as an object whose only field is named after its kind.
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

template <class Map> QJsonArray toJsonArray(const Map &Objects) {
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
  QJsonObject BaseVersions;
  for (const auto &[Key, Version] : T.BaseVersions_)
    BaseVersions[QString::fromStdString(Key.str())] =
        jsonValue(Version.value());
  return {{"changes", Changes}, {"against", BaseVersions}};
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
          {"pools", toJsonArray(V.Pools_)},
          {"budgets", toJsonArray(V.Budgets_)},
          {"waves", toJsonArray(V.Waves_)},
          {"quotas", toJsonArray(V.Quotas_)}};
}

std::string encodeHead(TicketNumber Head) {
  return jsonText({{"ticket", jsonValue(Head.value())}});
}

ViewObject decodeViewObject(std::string_view Text) {
  const JsonNode Row = JsonNode::parse(Text, MaxTextSize);
  return {readTicketNumber(Row.field("ticket"), 1),
          readChange(Row, UnknownFields::Ignored)};
}

TicketNumber decodeHead(std::string_view Text) {
  return readTicketNumber(JsonNode::parse(Text, MaxTextSize).field("ticket"));
}

Ticket decodeTicket(std::string_view Text) {
  const JsonNode Row = JsonNode::parse(Text, MaxTextSize);
  Ticket T;
  T.Number_ = readTicketNumber(Row.field("number"), 1);
  T.Author_ = Row.field("author").id<OperatorId>();
  T.Text_ = readTicketText(Row.field("text"), UnknownFields::Ignored);
  T.Digest_ = Row.field("digest").name();
  T.State_ = readEnum(Row.field("state"), TicketStateNames);
  T.Votes_ = readVotes(Row.field("votes"));
  T.Reason_ = Row.field("reason").text(MaxReasonLength);
  return T;
}

InstanceRow decodeInstanceRow(std::string_view Text) {
  const JsonNode Row = JsonNode::parse(Text, MaxTextSize);
  InstanceRow I;
  I.Name_ = Row.field("id").id<InstanceId>();
  I.Pool_ = Row.field("pool").id<PoolId>();
  I.Zone_ = Row.field("zone").id<ZoneId>();
  I.Rack_ = Row.field("rack").id<RackId>();
  I.Address_ = Row.field("address").text(MaxAddressLength);
  I.State_ = readEnum(Row.field("state"), InstanceStateNames);
  I.DoneWave_ = Row.field("done_wave").idOrEmpty<WaveId>();
  return I;
}

TicketText decodeTicketText(std::string_view Text) {
  return readTicketText(JsonNode::parse(Text, MaxTextSize),
                        UnknownFields::Rejected);
}

Submission decodeSubmission(std::string_view Body) {
  const JsonNode Root = JsonNode::parse(Body, MaxTextSize);
  Root.allowOnly({"number", "text"});
  // An empty path makes errors name paths relative to "text", which is what the
  // operator wrote.
  const JsonNode Text(Root.field("text").value(), "");
  return {readTicketNumber(Root.field("number"), 1),
          readTicketText(Text, UnknownFields::Rejected)};
}

Vote decodeVote(std::string_view Body) {
  const JsonNode Root = JsonNode::parse(Body, MaxTextSize);
  Root.allowOnly({"vote"});
  return readEnum(Root.field("vote"), VoteNames);
}

std::string digestOf(const TicketText &T) {
  const auto Text = QByteArray::fromStdString(encode(T));
  return QCryptographicHash::hash(Text, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

} // namespace heathercross::view
