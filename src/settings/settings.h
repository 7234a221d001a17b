// The checked settings of one entry instance, and how they are read.
#pragma once

#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/units.h"
#include "settings/endpoint.h"

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
/// The least severe lines that are logged.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

inline constexpr std::array<std::string_view, 3> PickerNames{
    "random", "least-loaded", "shared-slots"};
inline constexpr std::array<std::string_view, 3> MovesNames{"none", "threshold",
                                                            "hysteresis"};
inline constexpr std::array<std::string_view, 2> WaveStepNames{"largest-step",
                                                               "one-at-a-time"};
inline constexpr std::array<std::string_view, 3> LogLevelNames{
    "info", "warning", "error"};

/// The word that the settings file uses for a value.
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

/// Section [entry]: who this instance is and how it stops.
struct EntrySection {
  EntryId Id_;
  ZoneId Zone_;
  /// Where callers and operators connect.
  Endpoint Listen_;
  /// How long a planned stop keeps serving after it says "not ready".
  Millis StopGrace_{0};
  /// How long after the stop began what is left is cut.
  Millis DrainDeadline_{0};
  /// The seed of the random choices; zero takes one from the system.
  std::uint64_t Seed_ = 0;
};

/// Section [peer]: the other entry instances.
struct PeerSection {
  /// UDP and TCP address on which peers reach this instance.
  Endpoint Listen_;
  /// A file with the key that authenticates datagrams.
  std::string KeyFile_;
  std::vector<Endpoint> Peers_;
  Millis Heartbeat_{0};
  /// How many peers get each heartbeat.
  std::uint32_t Fanout_ = 0;
};

/// Section [platform]: the table, object store and instance list.
struct PlatformSection {
  Endpoint Address_;
  Millis Timeout_{0};
  Millis Poll_{0};
};

/// Section [access]: who may call.
struct AccessSection {
  std::string TokensFile_;
};

/// Section [committee]: who votes on tickets.
struct CommitteeSection {
  std::vector<OperatorId> Members_;
  OperatorId Chair_;
};

/// Section [request]: admission, placement and limits towards callers.
struct RequestSection {
  Picker Picker_ = Picker::SharedSlots;
  /// Whether a full pool's work may run on the spare pool.
  bool Overflow_ = true;
  std::uint32_t QueueLimit_ = 0;
  Bytes MaxBody_;
  std::uint32_t MaxConnections_ = 0;
  /// The window of a request that names none.
  Millis DefaultWindow_{0};
  /// The share of retries in first tries that the retry budget allows.
  std::uint32_t RetryPercent_ = 0;
  /// How long a sender may take for the headers.
  Millis HeaderTimeout_{0};
};

/// Section [control]: duties under leases.
struct ControlSection {
  Millis Lease_{0};
  Millis Step_{0};
  Moves Moves_ = Moves::Hysteresis;
  WaveStep Wave_ = WaveStep::LargestStep;
};

/// Section [log].
struct LogSection {
  LogLevel Level_ = LogLevel::Info;
};

/// Section [history]: the record that the history checker reads.
struct HistorySection {
  /// Empty when no history is written.
  std::string File_;
};

/// Section [cut]: simulated network cuts.
struct CutSection {
  /// Lists addresses that this instance doesn't talk to; empty when unused.
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

/// What is wrong with a place in a settings file.
enum class ProblemKind : std::uint8_t {
  /// The file can't be read.
  Unreadable,
  /// The line is no section, key or comment.
  Malformed,
  UnknownSection,
  UnknownKey,
  WrongType,
  OutOfRange,
  Missing,
  /// Two settings that are fine on their own contradict each other.
  Conflicting,
  Duplicate,
};

/// A stable word for the kind, such as "out-of-range".
std::string_view name(ProblemKind K);

/// One thing wrong with a settings file.
struct Problem {
  std::string File_;
  /// Counted from 1; zero when the problem is something that isn't there.
  std::uint32_t Line_ = 0;
  std::string Section_;
  std::string Key_;
  ProblemKind Kind_ = ProblemKind::Malformed;
  std::string Found_;
  std::string Allowed_;
  bool operator==(const Problem &) const = default;
};

/// The problem as one line: file, line, section, key, kind, what was found and
/// what is allowed.
std::string describe(const Problem &P);

/// A settings file with problems; carries all of them.
class SettingsError : public Error {
public:
  explicit SettingsError(std::vector<Problem> Problems);

  const char *code() const noexcept override { return "bad-settings"; }
  const std::vector<Problem> &problems() const { return Problems_; }

private:
  std::vector<Problem> Problems_;
};

/// Reads and checks a settings file. Throws SettingsError with every problem.
Settings load(const std::string &File);

/// Checks settings given as text; File names them in problems. Throws
/// SettingsError with every problem.
Settings parse(const std::string &Text, const std::string &File);

/// Every section and key with type, unit, default and range, as Markdown.
std::string settingsHelp();

} // namespace heathercross::settings
