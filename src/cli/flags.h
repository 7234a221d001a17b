// The flags of the operators' tool, and the parser of its command line.
#pragma once

#include <gflags/gflags_declare.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

DECLARE_string(address);
DECLARE_string(addresses);
DECLARE_string(token_file);
DECLARE_bool(json);
DECLARE_int32(timeout_ms);
DECLARE_uint64(ticket);
DECLARE_uint64(drain_limit_ms);
DECLARE_uint64(work_ms);
DECLARE_uint32(cores);
DECLARE_uint32(memory_mb);
DECLARE_string(state);
DECLARE_string(current);
DECLARE_string(largest_task);

namespace heathercross::cli {

/// Returns the gflags names of the flags that every command accepts.
std::span<const std::string_view> globalFlags();

/// A parsed command line.
struct CommandLine {
  /// The arguments that aren't flags, starting with the command's name.
  std::vector<std::string> Words_;
  /// The gflags names of the flags that were given.
  std::vector<std::string> Flags_;
  bool Help_ = false;
};

/// Sets the gflags variables and collects the other arguments as words. After
/// "--", every argument except --help and -h is a word. Dashes in a flag's name
/// are equivalent to underscores. Throws UsageError for unknown flags and
/// invalid values.
CommandLine parseCommandLine(std::span<char *const> Arguments);

/// Returns the help line of a flag, which shows its name with dashes, such as
/// "--token-file".
std::string flagHelp(std::string_view Name);

} // namespace heathercross::cli
