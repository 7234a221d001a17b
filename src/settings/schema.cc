// Defines every key of a settings file.
#include "settings/schema.h"

#include <algorithm>
#include <array>

namespace heathercross::settings {

namespace {

constexpr std::int64_t MinuteMs = 60'000;
constexpr std::int64_t HourMs = 60 * MinuteMs;

std::string asString(const Value &V) { return std::get<std::string>(V); }
std::int64_t asInteger(const Value &V) { return std::get<std::int64_t>(V); }
Millis asMillis(const Value &V) { return Millis(asInteger(V)); }
Endpoint asEndpoint(const Value &V) { return std::get<Endpoint>(V); }

std::uint32_t asCount(const Value &V) {
  return static_cast<std::uint32_t>(asInteger(V));
}

std::vector<OperatorId> asOperators(const Value &V) {
  std::vector<OperatorId> Result;
  for (const std::string &Name : std::get<std::vector<std::string>>(V))
    Result.emplace_back(Name);
  return Result;
}

using AssignFunction = void (*)(Settings &, const Value &);

constexpr KeySpec required(std::string_view Section, std::string_view Key,
                           ValueType Type, std::string_view Description,
                           AssignFunction A) {
  return {Section, Key, Type, "", "", true, 0, 0, {}, Description, A};
}

constexpr KeySpec optional(std::string_view Section, std::string_view Key,
                           ValueType Type, std::string_view Default,
                           std::string_view Description, AssignFunction A) {
  return {Section, Key, Type, "", Default, false, 0, 0, {}, Description, A};
}

constexpr KeySpec number(std::string_view Section, std::string_view Key,
                         std::string_view Unit, std::string_view Default,
                         std::int64_t Min, std::int64_t Max,
                         std::string_view Description, AssignFunction A) {
  return {Section, Key, ValueType::Integer, Unit, Default, false, Min,
          Max,     {},  Description,        A};
}

constexpr KeySpec choice(std::string_view Section, std::string_view Key,
                         std::span<const std::string_view> Choices,
                         std::string_view Default, std::string_view Description,
                         AssignFunction A) {
  return {Section, Key, ValueType::Choice, "",          Default, false,
          0,       0,   Choices,           Description, A};
}

/// A function that sets one field of Settings from the checked value V.
#define HEATHERCROSS_ASSIGN(Field, Expression)                                 \
  [](Settings &S, const Value &V) { S.Field = Expression; }

constexpr std::array Keys{
    required("entry", "id", ValueType::Name,
             "The name of this entry instance, unique among all.",
             HEATHERCROSS_ASSIGN(Entry_.Id_, EntryId(asString(V)))),
    required("entry", "zone", ValueType::Name,
             "The availability zone in which it runs.",
             HEATHERCROSS_ASSIGN(Entry_.Zone_, ZoneId(asString(V)))),
    required("entry", "listen", ValueType::Endpoint,
             "Where callers and operators connect (HTTP).",
             HEATHERCROSS_ASSIGN(Entry_.Listen_, asEndpoint(V))),
    number("entry", "stop_grace_ms", "ms", "5000", 0, 10 * MinuteMs,
           "How long a planned stop keeps serving after it reports not ready, "
           "so that the balancer notices.",
           HEATHERCROSS_ASSIGN(Entry_.StopGrace_, asMillis(V))),
    number(
        "entry", "drain_deadline_ms", "ms", "30000", 0, HourMs,
        "How long after the stop began work that still runs is cut short; at "
        "least stop_grace_ms.",
        HEATHERCROSS_ASSIGN(Entry_.DrainDeadline_, asMillis(V))),
    number("entry", "seed", "", "0", 0, INT64_MAX,
           "The random seed; 0 takes one from the system.",
           HEATHERCROSS_ASSIGN(Entry_.Seed_,
                               static_cast<std::uint64_t>(asInteger(V)))),

    required("peer", "listen", ValueType::Endpoint,
             "Where other entry instances reach this one (UDP and TCP).",
             HEATHERCROSS_ASSIGN(Peer_.Listen_, asEndpoint(V))),
    required("peer", "key_file", ValueType::Path,
             "The file with the key that authenticates peers; without "
             "access for group and others.",
             HEATHERCROSS_ASSIGN(Peer_.KeyFile_, asString(V))),
    optional(
        "peer", "peers", ValueType::EndpointList, "",
        "The other entry instances, without this one.",
        HEATHERCROSS_ASSIGN(Peer_.Peers_, std::get<std::vector<Endpoint>>(V))),
    number("peer", "heartbeat_ms", "ms", "500", 50, MinuteMs,
           "The time between two heartbeats.",
           HEATHERCROSS_ASSIGN(Peer_.Heartbeat_, asMillis(V))),
    number("peer", "fanout", "peers", "3", 1, 64,
           "How many peers get each heartbeat.",
           HEATHERCROSS_ASSIGN(Peer_.Fanout_, asCount(V))),

    required("platform", "address", ValueType::Endpoint,
             "The platform's service: table, object store, instance list.",
             HEATHERCROSS_ASSIGN(Platform_.Address_, asEndpoint(V))),
    number("platform", "timeout_ms", "ms", "1000", 10, MinuteMs,
           "How long one call to the platform may take.",
           HEATHERCROSS_ASSIGN(Platform_.Timeout_, asMillis(V))),
    number("platform", "poll_ms", "ms", "1000", 50, MinuteMs,
           "The mean time between two reads of the table's head.",
           HEATHERCROSS_ASSIGN(Platform_.Poll_, asMillis(V))),

    required("access", "tokens_file", ValueType::Path,
             "The file with the digests of the tokens; without access for "
             "group and others.",
             HEATHERCROSS_ASSIGN(Access_.TokensFile_, asString(V))),

    required("committee", "members", ValueType::NameList,
             "The operators who vote on tickets.",
             HEATHERCROSS_ASSIGN(Committee_.Members_, asOperators(V))),
    required("committee", "chair", ValueType::Name,
             "The member whose vote breaks a tie.",
             HEATHERCROSS_ASSIGN(Committee_.Chair_, OperatorId(asString(V)))),

    choice("request", "picker", PickerNames, "shared-slots",
           "How a worker is chosen for a request.",
           HEATHERCROSS_ASSIGN(Request_.Picker_, Picker(asInteger(V)))),
    optional("request", "overflow", ValueType::Flag, "on",
             "Whether work may run on the spare pool when its pool is full.",
             HEATHERCROSS_ASSIGN(Request_.Overflow_, std::get<bool>(V))),
    number("request", "queue_limit", "requests", "512", 1, 100'000,
           "How many requests may wait in this entry instance.",
           HEATHERCROSS_ASSIGN(Request_.QueueLimit_, asCount(V))),
    number(
        "request", "max_body_bytes", "bytes", "1048576", 1024, 67'108'864,
        "The maximum body length of a request.",
        HEATHERCROSS_ASSIGN(Request_.MaxBody_,
                            Bytes{static_cast<std::uint64_t>(asInteger(V))})),
    number("request", "max_connections", "connections", "1024", 1, 65'535,
           "How many connections of callers may be open at once.",
           HEATHERCROSS_ASSIGN(Request_.MaxConnections_, asCount(V))),
    number("request", "default_window_ms", "ms", "10000", 1, HourMs,
           "The window of a request that specifies none.",
           HEATHERCROSS_ASSIGN(Request_.DefaultWindow_, asMillis(V))),
    number("request", "retry_percent", "%", "10", 0, 100,
           "Retries allowed, as a share of first attempts.",
           HEATHERCROSS_ASSIGN(Request_.RetryPercent_, asCount(V))),
    number("request", "header_timeout_ms", "ms", "5000", 100, MinuteMs,
           "How long a client may take to transmit the headers.",
           HEATHERCROSS_ASSIGN(Request_.HeaderTimeout_, asMillis(V))),

    number("control", "lease_ms", "ms", "4000", 200, 10 * MinuteMs,
           "How long a duty's lease lasts without a renewal; at least twice "
           "step_ms.",
           HEATHERCROSS_ASSIGN(Control_.Lease_, asMillis(V))),
    number("control", "step_ms", "ms", "500", 20, MinuteMs,
           "The time between two steps of a duty.",
           HEATHERCROSS_ASSIGN(Control_.Step_, asMillis(V))),
    choice("control", "moves", MovesNames, "hysteresis",
           "When instances move between pools.",
           HEATHERCROSS_ASSIGN(Control_.Moves_, Moves(asInteger(V)))),
    choice("control", "wave", WaveStepNames, "largest-step",
           "How many instances a wave takes down at once.",
           HEATHERCROSS_ASSIGN(Control_.Wave_, WaveStep(asInteger(V)))),

    choice("log", "level", LogLevelNames, "info",
           "The least severe lines that are logged.",
           HEATHERCROSS_ASSIGN(Log_.Level_, LogLevel(asInteger(V)))),
    optional("history", "file", ValueType::Path, "",
             "Where the history of events is written; empty for none.",
             HEATHERCROSS_ASSIGN(History_.File_, asString(V))),
    optional("cut", "switch_file", ValueType::Path, "",
             "For tests: a file that lists the addresses with which this entry "
             "instance doesn't communicate; empty for none.",
             HEATHERCROSS_ASSIGN(Cut_.SwitchFile_, asString(V))),
};

#undef HEATHERCROSS_ASSIGN

std::string joinChoices(std::span<const std::string_view> Choices) {
  std::string Result;
  for (const std::string_view Choice : Choices)
    Result += (Result.empty() ? "" : " | ") + std::string(Choice);
  return Result;
}

std::string allowedIntegers(const KeySpec &Spec) {
  const std::string Unit =
      Spec.Unit_.empty() ? "" : " " + std::string(Spec.Unit_);
  return "integer from " + std::to_string(Spec.Min_) + " to " +
         std::to_string(Spec.Max_) + Unit;
}

} // namespace

std::span<const KeySpec> schema() { return Keys; }

const KeySpec *findKey(std::string_view Section, std::string_view Key) {
  const auto I = std::ranges::find_if(Keys, [&](const KeySpec &Spec) {
    return Spec.Section_ == Section && Spec.Key_ == Key;
  });
  return I == Keys.end() ? nullptr : &*I;
}

bool isSection(std::string_view Section) {
  return std::ranges::find(Keys, Section, &KeySpec::Section_) != Keys.end();
}

std::string allowedValues(const KeySpec &Spec) {
  switch (Spec.Type_) {
  case ValueType::Name:
    return "1 to 64 of letters, digits, '.', '-', '_'";
  case ValueType::Path:
    return "path of a file";
  case ValueType::Integer:
    return allowedIntegers(Spec);
  case ValueType::Flag:
    return "on | off";
  case ValueType::Choice:
    return joinChoices(Spec.Choices_);
  case ValueType::Endpoint:
    return "IP:PORT";
  case ValueType::EndpointList:
    return "comma-separated list of IP:PORT";
  case ValueType::NameList:
    return "comma-separated list of names";
  }
  return "";
}

} // namespace heathercross::settings
