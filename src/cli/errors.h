// The failures of the operators' tool.
#pragma once

#include "cli/exit-code.h"
#include "heathercross/error.h"

#include <string>
#include <utility>

namespace heathercross::cli {

/// A command line that isn't understood.
class UsageError : public Error {
public:
  explicit UsageError(std::string Problem) : Error(std::move(Problem)) {}
  const char *code() const noexcept override { return "usage"; }
};

/// A call that an entry instance didn't carry out, or that didn't reach one.
class CallFailed : public Error {
public:
  /// Code is the failure's stable name as the entry instance gave it.
  CallFailed(ExitCode Exit, std::string Code, std::string Message)
      : Error(std::move(Message)), Exit_(Exit), Code_(std::move(Code)) {}

  const char *code() const noexcept override { return Code_.c_str(); }
  ExitCode exitCode() const { return Exit_; }

private:
  ExitCode Exit_;
  std::string Code_;
};

} // namespace heathercross::cli
