// The settings of one entry instance, and functions that load them.
#pragma once

#include "core/endpoint.h"
#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::settings {

/// How a worker is chosen for a request.
enum class Picker : std::uint8_t { Random, LeastLoaded, SharedSlots };
/// When instances move between pools.
enum class Moves : std::uint8_t { None, Threshold, Hysteresis };
/// How many instances a wave takes down at once.
enum class WaveStep : std::uint8_t { LargestStep, OneAtATime };
/// The minimum severity of log lines that are written.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

inline constexpr std::array<std::string_view, 3> PickerNames{
    "random", "least-loaded", "shared-slots"};
inline constexpr std::array<std::string_view, 3> MovesNames{"none", "threshold",
                                                            "hysteresis"};
inline constexpr std::array<std::string_view, 2> WaveStepNames{"largest-step",
                                                               "one-at-a-time"};
inline constexpr std::array<std::string_view, 3> LogLevelNames{
    "info", "warning", "error"};

/// Returns the word used for a value in the settings file.
constexpr std::string_view name(Picker P) {
  return PickerNames[static_cast<std::size_t>(P)];
}
constexpr std::string_view name(Moves M) {
  return MovesNames[static_cast<std::size_t>(M)];
}
constexpr std::string_view name(WaveStep W) {
  return WaveStepNames[static_cast<std::size_t>(W)];
}
constexpr std::string_view name(LogLevel L) {
  return LogLevelNames[static_cast<std::size_t>(L)];
}

/// Section [entry]: the identity of this instance and how it stops.
struct EntrySection {
  EntryId Id_;
  ZoneId Zone_;
  /// The HTTP address to which callers and operators connect.
  Endpoint Listen_;
  /// How long a planned stop keeps serving after it reports "not ready".
  Millis StopGrace_{0};
  /// The time from the start of a planned stop until the process exits even
  /// with requests pending.
  Millis DrainDeadline_{0};
  /// The seed of the random number generator; zero takes one from the system.
  std::uint64_t Seed_ = 0;
};

/// Section [peer]: the other entry instances.
struct PeerSection {
  /// UDP and TCP address on which peers reach this instance.
  Endpoint Listen_;
  /// The file with the key that authenticates datagrams.
  std::string KeyFile_;
  std::vector<Endpoint> Peers_;
  Millis Heartbeat_{0};
  /// The number of peers to which each heartbeat is sent.
  std::uint32_t Fanout_ = 0;
};

/// Section [platform]: the service with the table, object store and instance
/// list.
struct PlatformSection {
  Endpoint Address_;
  Millis Timeout_{0};
  Millis Poll_{0};
};

/// Section [access]: authentication of callers.
struct AccessSection {
  std::string TokensFile_;
};

/// Section [committee]: the operators who vote on tickets.
struct CommitteeSection {
  std::vector<OperatorId> Members_;
  OperatorId Chair_;
};

/// Section [request]: admission, placement and limits for callers.
struct RequestSection {
  Picker Picker_ = Picker::SharedSlots;
  /// Whether work may run on the spare pool when its pool is full.
  bool Overflow_ = true;
  std::uint32_t QueueLimit_ = 0;
  Bytes MaxBody_;
  std::uint32_t MaxConnections_ = 0;
  /// The window of a request that specifies none.
  Millis DefaultWindow_{0};
  /// The retries that the retry budget allows, in percent of first attempts.
  std::uint32_t RetryPercent_ = 0;
  /// How long a client may take to send the headers.
  Millis HeaderTimeout_{0};
};

/// Section [control]: duties, their leases and policies.
struct ControlSection {
  Millis Lease_{0};
  Millis Step_{0};
  Moves Moves_ = Moves::Hysteresis;
  WaveStep Wave_ = WaveStep::LargestStep;
};

/// Section [log]: logging.
struct LogSection {
  LogLevel Level_ = LogLevel::Info;
};

/// Section [history]: the log of events that the history checker reads.
struct HistorySection {
  /// Empty when no history is written.
  std::string File_;
};

/// Section [cut]: simulated network partitions.
struct CutSection {
  /// The file that lists addresses with which this instance doesn't
  /// communicate; empty when unused.
  std::string SwitchFile_;
};

/// All settings of one entry instance, each within its range.
struct Settings {
  EntrySection Entry_;
  PeerSection Peer_;
  PlatformSection Platform_;
  AccessSection Access_;
  CommitteeSection Committee_;
  RequestSection Request_;
  ControlSection Control_;
  LogSection Log_;
  HistorySection History_;
  CutSection Cut_;
};

/// The kind of a problem in a settings file.
enum class ProblemKind : std::uint8_t {
  /// The file can't be read.
  Unreadable,
  /// The line is neither a section, a key nor a comment.
  Malformed,
  UnknownSection,
  UnknownKey,
  WrongType,
  OutOfRange,
  Missing,
  /// Two individually valid settings contradict each other.
  Conflicting,
  Duplicate,
};

/// Returns the stable name of the kind, such as "out-of-range".
std::string_view name(ProblemKind K);

/// One problem in a settings file.
struct Problem {
  std::string File_;
  /// Counted from 1; zero when the problem has no line, such as a missing key.
  std::uint32_t Line_ = 0;
  std::string Section_;
  std::string Key_;
  ProblemKind Kind_ = ProblemKind::Malformed;
  std::string Found_;
  std::string Allowed_;
  bool operator==(const Problem &) const = default;
};

/// Formats the problem as one line: file, line, section, key, kind, the found
/// value and the allowed values.
std::string describe(const Problem &P);

/// Thrown for an invalid settings file; holds all of its problems.
class SettingsError : public Error {
public:
  explicit SettingsError(std::vector<Problem> Problems);

  const char *code() const noexcept override { return "bad-settings"; }
  const std::vector<Problem> &problems() const { return Problems_; }

private:
  std::vector<Problem> Problems_;
};

/// Loads and checks a settings file. Throws SettingsError with every problem.
Settings load(const std::string &File);

/// Parses and checks settings given as text; File is the name shown in
/// problems. Throws SettingsError with every problem.
Settings parse(const std::string &Text, const std::string &File);

/// Returns Markdown tables of every section and key with unit, default, allowed
/// values and meaning.
std::string settingsHelp();

} // namespace heathercross::settings
