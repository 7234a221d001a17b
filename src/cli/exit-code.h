// The exit codes of the operators' tool.
#pragma once

#include <algorithm>
#include <cstdint>

namespace heathercross::cli {

/// The result of a command, for use in scripts. Worse results have higher
/// values.
enum class ExitCode : std::uint8_t {
  Done = 0,
  /// An entry instance replied that it didn't execute the command; nothing has
  /// changed.
  Refused = 1,
  /// The command line is wrong; nothing was sent.
  Usage = 2,
  /// No entry instance replied; nothing has changed.
  Unreachable = 3,
  /// The command may or may not have been executed; it can safely be repeated.
  Unknown = 4,
};

/// Returns the result of a command whose two parts had these results.
constexpr ExitCode worse(ExitCode A, ExitCode B) { return std::max(A, B); }

} // namespace heathercross::cli
