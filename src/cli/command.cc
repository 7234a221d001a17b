// Finds commands and formats their help.
#include "cli/command.h"

#include "cli/errors.h"
#include "cli/flags.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <ranges>

namespace heathercross::cli {

namespace {

constexpr std::size_t DescriptionColumn = 42;

std::string usageText(const Command &C) {
  std::string Text = "heathercross " + std::string(C.Group_);
  for (const std::string_view Part : {C.Verb_, C.Arguments_})
    if (!Part.empty())
      Text += " " + std::string(Part);
  return Text;
}

/// Returns whether the first words name this command.
bool isNamedBy(const Command &C, const std::vector<std::string> &Words) {
  if (Words.empty() || Words[0] != C.Group_)
    return false;
  return C.Verb_.empty() || (Words.size() > 1 && Words[1] == C.Verb_);
}

std::string commandHelp(const Command &C) {
  std::string Text = "usage: " + usageText(C) + " [FLAGS]\n\n" +
                     std::string(C.Description_) + "\n\nexample:\n  " +
                     std::string(C.Example_) + "\n\nflags:\n";
  for (const std::string_view Flag : C.Flags_)
    Text += flagHelp(Flag);
  for (const std::string_view Flag : globalFlags())
    Text += flagHelp(Flag);
  return Text;
}

std::string summaryLine(const Command &C) {
  std::string Text = "  " + usageText(C).substr(sizeof("heathercross"));
  Text.resize(std::max(Text.size() + 1, DescriptionColumn), ' ');
  return Text + std::string(C.Description_) + "\n";
}

/// Lists the commands of a group, or all commands if Group is empty.
std::string groupHelp(const std::string &Group) {
  std::string Text = "usage: heathercross [FLAGS] COMMAND\n\ncommands:\n";
  for (const Command &C : commands())
    if (Group.empty() || C.Group_ == Group)
      Text += summaryLine(C);
  Text += "\nexit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown "
          "outcome\n\nflags:\n";
  for (const std::string_view Flag : globalFlags())
    Text += flagHelp(Flag);
  return Text + "\n\"heathercross COMMAND --help\" shows an example.\n";
}

CommandList collectCommands() {
  CommandList All;
  for (const auto &Group : {ticketCommands(), fleetCommands(), waveCommands(),
                            jobCommands(), processCommands(), tokenCommands(),
                            explainCommands(), configCommands()})
    std::ranges::copy(Group, std::back_inserter(All));
  return All;
}

} // namespace

const CommandList &commands() {
  static const CommandList All = collectCommands();
  return All;
}

std::string help(const std::vector<std::string> &Words) {
  const auto I = std::ranges::find_if(
      commands(), [&](const Command &C) { return isNamedBy(C, Words); });
  if (I != commands().end())
    return commandHelp(*I);
  const bool IsGroup =
      !Words.empty() && std::ranges::any_of(commands(), [&](const Command &C) {
        return C.Group_ == Words[0];
      });
  return groupHelp(IsGroup ? Words[0] : "");
}

const Command &extractCommand(std::vector<std::string> &Words) {
  const auto I = std::ranges::find_if(
      commands(), [&](const Command &C) { return isNamedBy(C, Words); });
  if (I == commands().end())
    raise(UsageError(Words.empty() ? "no command" : "unknown command"));
  Words.erase(Words.begin(), Words.begin() + (I->Verb_.empty() ? 1 : 2));
  if (Words.size() < I->MinArguments_ || Words.size() > I->MaxArguments_)
    raise(UsageError("usage: " + usageText(*I)));
  return *I;
}

std::uint64_t parseNumber(const std::string &Word, const char *Name) {
  std::uint64_t Number = 0;
  const char *End = Word.data() + Word.size();
  const auto [Stop, Code] = std::from_chars(Word.data(), End, Number);
  if (Code != std::errc() || Stop != End)
    raise(UsageError(std::string(Name) + " is no number: " + Word));
  return Number;
}

std::vector<std::string> wordsOrInputLines(const Arguments &Words) {
  if (Words.size() != 1 || Words[0] != "-")
    return Words;
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(std::cin, Line);)
    if (!Line.empty())
      Lines.push_back(Line);
  return Lines;
}

} // namespace heathercross::cli
