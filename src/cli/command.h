// The table of commands.
#pragma once

#include "cli/exit-code.h"
#include "cli/session.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::cli {

using Arguments = std::vector<std::string>;

/// One command, "GROUP VERB ARGUMENTS". A group of one command has no verb.
struct Command {
  std::string_view Group_;
  std::string_view Verb_;
  std::string_view Arguments_;
  std::size_t MinArguments_;
  std::size_t MaxArguments_;
  std::string_view Text_;
  std::string_view Example_;
  /// The flags that it takes besides the global ones, by their gflags names.
  std::vector<std::string_view> Flags_;
  /// Throws UsageError and CallFailed.
  ExitCode (*Run_)(Session &, const Arguments &);
};

using CommandList = std::vector<Command>;

// The groups of commands.
CommandList ticketCommands();
CommandList fleetCommands();
CommandList waveCommands();
CommandList jobCommands();
CommandList processCommands();
CommandList tokenCommands();
CommandList explainCommands();

/// All commands in the order in which --help shows them.
const CommandList &commands();

/// The help of the whole tool, of a group, or of one command.
std::string help(const std::vector<std::string> &Words);

/// The command that the words start with, which it takes off. Throws
/// UsageError when there is none or its number of arguments is wrong.
const Command &takeCommand(std::vector<std::string> &Words);

/// The number that a word stands for. Throws UsageError.
std::uint64_t numberOf(const std::string &Word, const char *What);

/// The words themselves, or the lines of the standard input when the only word
/// is "-"; blank lines are passed over.
std::vector<std::string> wordsOrInput(const Arguments &Words);

} // namespace heathercross::cli
