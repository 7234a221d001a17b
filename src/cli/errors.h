// Errors of the operators' tool.
#pragma once

#include "cli/exit-code.h"
#include "heathercross/error.h"

#include <string>
#include <utility>

namespace heathercross::cli {

/// Thrown for an invalid command line.
class UsageError : public Error {
public:
  explicit UsageError(std::string Problem) : Error(std::move(Problem)) {}
  const char *code() const noexcept override { return "usage"; }
};

/// Thrown for a call that was refused, wasn't delivered, or whose outcome is
/// unknown.
class CallFailed : public Error {
public:
  /// Code is the stable error code, usually as returned by the entry instance.
  CallFailed(ExitCode Exit, std::string Code, std::string Message)
      : Error(std::move(Message)), Exit_(Exit), Code_(std::move(Code)) {}

  const char *code() const noexcept override { return Code_.c_str(); }
  ExitCode exitCode() const { return Exit_; }

private:
  ExitCode Exit_;
  std::string Code_;
};

} // namespace heathercross::cli
