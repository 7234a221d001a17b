// The table of commands, and helpers to find and parse them.
#pragma once

#include "cli/exit-code.h"
#include "cli/session.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::cli {

using Arguments = std::vector<std::string>;

/// One command, invoked as "GROUP VERB ARGUMENTS". Verb_ is empty if the group
/// consists of this command only.
struct Command {
  std::string_view Group_;
  std::string_view Verb_;
  std::string_view Arguments_;
  std::size_t MinArguments_;
  std::size_t MaxArguments_;
  std::string_view Description_;
  std::string_view Example_;
  /// The gflags names of the flags that it accepts besides the global flags.
  std::vector<std::string_view> Flags_;
  /// Throws UsageError and CallFailed.
  ExitCode (*Run_)(Session &, const Arguments &);
};

using CommandList = std::vector<Command>;

// The commands that each source file defines.
CommandList ticketCommands();
CommandList fleetCommands();
CommandList waveCommands();
CommandList jobCommands();
CommandList processCommands();
CommandList tokenCommands();
CommandList explainCommands();
CommandList configCommands();

/// Returns all commands in the order in which --help shows them.
const CommandList &commands();

/// Returns the help of the command or group that the words name; otherwise that
/// of the whole tool.
std::string help(const std::vector<std::string> &Words);

/// Finds the command named by the first words and removes its name from Words.
/// Throws UsageError if there is none or the number of arguments is wrong.
const Command &extractCommand(std::vector<std::string> &Words);

/// Parses an unsigned decimal number. Throws UsageError that names the value by
/// Name if Word is something else.
std::uint64_t parseNumber(const std::string &Word, const char *Name);

/// Returns the words, or the non-empty lines of the standard input if the only
/// word is "-".
std::vector<std::string> wordsOrInputLines(const Arguments &Words);

} // namespace heathercross::cli
