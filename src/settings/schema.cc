// The keys of a settings file, each with the setting that it fills.
#include "settings/schema.h"

#include <algorithm>
#include <array>

namespace heathercross::settings {

namespace {

constexpr std::int64_t Minute = 60'000;
constexpr std::int64_t Hour = 60 * Minute;

std::string text(const Value &V) { return std::get<std::string>(V); }
std::int64_t integer(const Value &V) { return std::get<std::int64_t>(V); }
Millis millis(const Value &V) { return Millis(integer(V)); }
Endpoint endpoint(const Value &V) { return std::get<Endpoint>(V); }

std::uint32_t count(const Value &V) {
  return static_cast<std::uint32_t>(integer(V));
}

std::vector<OperatorId> operators(const Value &V) {
  std::vector<OperatorId> Result;
  for (const std::string &Name : std::get<std::vector<std::string>>(V))
    Result.emplace_back(Name);
  return Result;
}

using Assign = void (*)(Settings &, const Value &);

constexpr KeySpec required(std::string_view Section, std::string_view Key,
                           ValueType Type, std::string_view Text, Assign A) {
  return {Section, Key, Type, "", "", true, 0, 0, {}, Text, A};
}

constexpr KeySpec optional(std::string_view Section, std::string_view Key,
                           ValueType Type, std::string_view Default,
                           std::string_view Text, Assign A) {
  return {Section, Key, Type, "", Default, false, 0, 0, {}, Text, A};
}

constexpr KeySpec number(std::string_view Section, std::string_view Key,
                         std::string_view Unit, std::string_view Default,
                         std::int64_t Min, std::int64_t Max,
                         std::string_view Text, Assign A) {
  return {Section, Key, ValueType::Integer, Unit, Default, false, Min, Max, {},
          Text,    A};
}

constexpr KeySpec word(std::string_view Section, std::string_view Key,
                       std::span<const std::string_view> Words,
                       std::string_view Default, std::string_view Text,
                       Assign A) {
  return {Section, Key, ValueType::Word, "",   Default, false,
          0,       0,   Words,           Text, A};
}

#define HEATHERCROSS_ASSIGN(Place, Expression)                                 \
  [](Settings &S, const Value &V) { S.Place = Expression; }

constexpr std::array Keys{
    required("entry", "id", ValueType::Name,
             "The name of this entry instance, unique among all.",
             HEATHERCROSS_ASSIGN(Entry_.Id_, EntryId(text(V)))),
    required("entry", "zone", ValueType::Name,
             "The availability zone in which it runs.",
             HEATHERCROSS_ASSIGN(Entry_.Zone_, ZoneId(text(V)))),
    required("entry", "listen", ValueType::Endpoint,
             "Where callers and operators connect (HTTP).",
             HEATHERCROSS_ASSIGN(Entry_.Listen_, endpoint(V))),
    number("entry", "stop_grace_ms", "ms", "5000", 0, 10 * Minute,
           "How long a planned stop keeps serving after it says not ready, "
           "so that the balancer notices.",
           HEATHERCROSS_ASSIGN(Entry_.StopGrace_, millis(V))),
    number("entry", "drain_deadline_ms", "ms", "30000", 0, Hour,
           "How long after the stop began what still runs is cut; at least "
           "stop_grace_ms.",
           HEATHERCROSS_ASSIGN(Entry_.DrainDeadline_, millis(V))),
    number("entry", "seed", "", "0", 0, INT64_MAX,
           "The seed of the random choices; 0 takes one from the system.",
           HEATHERCROSS_ASSIGN(Entry_.Seed_,
                               static_cast<std::uint64_t>(integer(V)))),

    required("peer", "listen", ValueType::Endpoint,
             "Where other entry instances reach this one (UDP and TCP).",
             HEATHERCROSS_ASSIGN(Peer_.Listen_, endpoint(V))),
    required("peer", "key_file", ValueType::Path,
             "The file with the key that authenticates peers; without "
             "access for group and others.",
             HEATHERCROSS_ASSIGN(Peer_.KeyFile_, text(V))),
    optional(
        "peer", "peers", ValueType::EndpointList, "",
        "The other entry instances, without this one.",
        HEATHERCROSS_ASSIGN(Peer_.Peers_, std::get<std::vector<Endpoint>>(V))),
    number("peer", "heartbeat_ms", "ms", "500", 50, Minute,
           "The time between two heartbeats.",
           HEATHERCROSS_ASSIGN(Peer_.Heartbeat_, millis(V))),
    number("peer", "fanout", "peers", "3", 1, 64,
           "How many peers get each heartbeat.",
           HEATHERCROSS_ASSIGN(Peer_.Fanout_, count(V))),

    required("platform", "address", ValueType::Endpoint,
             "The platform's service: table, object store, instance list.",
             HEATHERCROSS_ASSIGN(Platform_.Address_, endpoint(V))),
    number("platform", "timeout_ms", "ms", "1000", 10, Minute,
           "How long one call to the platform may take.",
           HEATHERCROSS_ASSIGN(Platform_.Timeout_, millis(V))),
    number("platform", "poll_ms", "ms", "1000", 50, Minute,
           "The mean time between two reads of the table's head.",
           HEATHERCROSS_ASSIGN(Platform_.Poll_, millis(V))),

    required("access", "tokens_file", ValueType::Path,
             "The file with the digests of the tokens; without access for "
             "group and others.",
             HEATHERCROSS_ASSIGN(Access_.TokensFile_, text(V))),

    required("committee", "members", ValueType::NameList,
             "The operators who vote on tickets.",
             HEATHERCROSS_ASSIGN(Committee_.Members_, operators(V))),
    required("committee", "chair", ValueType::Name,
             "The member whose vote breaks a tie.",
             HEATHERCROSS_ASSIGN(Committee_.Chair_, OperatorId(text(V)))),

    word("request", "picker", PickerNames, "shared-slots",
         "How a worker is chosen for a request.",
         HEATHERCROSS_ASSIGN(Request_.Picker_, Picker(integer(V)))),
    optional("request", "overflow", ValueType::Flag, "on",
             "Whether work that finds its pool full may run on the spare pool.",
             HEATHERCROSS_ASSIGN(Request_.Overflow_, std::get<bool>(V))),
    number("request", "queue_limit", "requests", "512", 1, 100'000,
           "How many requests may wait in this entry instance.",
           HEATHERCROSS_ASSIGN(Request_.QueueLimit_, count(V))),
    number("request", "max_body_bytes", "bytes", "1048576", 1024, 67'108'864,
           "The longest body of a request.",
           HEATHERCROSS_ASSIGN(Request_.MaxBody_,
                               Bytes{static_cast<std::uint64_t>(integer(V))})),
    number("request", "max_connections", "connections", "1024", 1, 65'535,
           "How many connections of callers are open at once.",
           HEATHERCROSS_ASSIGN(Request_.MaxConnections_, count(V))),
    number("request", "default_window_ms", "ms", "10000", 1, Hour,
           "The window of a request that names none.",
           HEATHERCROSS_ASSIGN(Request_.DefaultWindow_, millis(V))),
    number("request", "retry_percent", "%", "10", 0, 100,
           "Retries allowed, as a share of first tries.",
           HEATHERCROSS_ASSIGN(Request_.RetryPercent_, count(V))),
    number("request", "header_timeout_ms", "ms", "5000", 100, Minute,
           "How long a sender may take for the headers.",
           HEATHERCROSS_ASSIGN(Request_.HeaderTimeout_, millis(V))),

    number("control", "lease_ms", "ms", "4000", 200, 10 * Minute,
           "How long a duty's lease lasts without a renewal; at least twice "
           "step_ms.",
           HEATHERCROSS_ASSIGN(Control_.Lease_, millis(V))),
    number("control", "step_ms", "ms", "500", 20, Minute,
           "The time between two steps of a duty.",
           HEATHERCROSS_ASSIGN(Control_.Step_, millis(V))),
    word("control", "moves", MovesNames, "hysteresis",
         "When instances move between pools.",
         HEATHERCROSS_ASSIGN(Control_.Moves_, Moves(integer(V)))),
    word("control", "wave", WaveStepNames, "largest-step",
         "How many instances a wave takes down at once.",
         HEATHERCROSS_ASSIGN(Control_.Wave_, WaveStep(integer(V)))),

    word("log", "level", LogLevelNames, "info",
         "The least severe lines that are logged.",
         HEATHERCROSS_ASSIGN(Log_.Level_, LogLevel(integer(V)))),
    optional("history", "file", ValueType::Path, "",
             "Where the history of events is written; empty for none.",
             HEATHERCROSS_ASSIGN(History_.File_, text(V))),
    optional("cut", "switch_file", ValueType::Path, "",
             "For tests: a file that lists the addresses to which this entry "
             "instance doesn't talk; empty for none.",
             HEATHERCROSS_ASSIGN(Cut_.SwitchFile_, text(V))),
};

#undef HEATHERCROSS_ASSIGN

std::string joinWords(std::span<const std::string_view> Words) {
  std::string Result;
  for (const std::string_view W : Words)
    Result += (Result.empty() ? "" : " | ") + std::string(W);
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
  case ValueType::Word:
    return joinWords(Spec.Words_);
  case ValueType::Endpoint:
    return "IP:PORT";
  case ValueType::EndpointList:
    return "comma list of IP:PORT";
  case ValueType::NameList:
    return "comma list of names";
  }
  return "";
}

} // namespace heathercross::settings
