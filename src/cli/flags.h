// The flags of the operators' tool, and how a command line is split.
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

namespace heathercross::cli {

/// The flags that every command takes, by their gflags names.
std::span<const std::string_view> globalFlags();

/// A command line: its words, and the flags that were set on the way.
struct CommandLine {
  std::vector<std::string> Words_;
  /// The gflags names of the flags that were given.
  std::vector<std::string> Flags_;
  bool Help_ = false;
};

/// Sets the flags and collects the words that are left; what follows "--" is
/// words only. Dashes in a flag's name stand for underscores. Throws
/// UsageError for unknown flags and values that don't fit.
CommandLine parseCommandLine(std::span<char *const> Arguments);

/// A flag as people write it, with its description: "--token-file".
std::string flagHelp(std::string_view Name);

} // namespace heathercross::cli
