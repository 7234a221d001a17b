// The exit codes of the operators' tool.
#pragma once

#include <algorithm>
#include <cstdint>

namespace heathercross::cli {

/// How a command ended; a script acts on it. A worse end has a higher value.
enum class ExitCode : std::uint8_t {
  Done = 0,
  /// An entry instance answered and didn't do it; nothing has changed.
  Refused = 1,
  /// The command line is wrong; nothing was sent.
  Usage = 2,
  /// No entry instance answered; nothing has changed.
  Unreachable = 3,
  /// It may or may not have been done. Every command may be repeated.
  Unknown = 4,
};

/// The end of a command of which two parts ended differently.
constexpr ExitCode worse(ExitCode A, ExitCode B) { return std::max(A, B); }

} // namespace heathercross::cli
