// Finding commands and showing their help.
#include "cli/command.h"

#include "cli/errors.h"
#include "cli/flags.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <ranges>

namespace heathercross::cli {

namespace {

constexpr std::size_t HelpColumn = 42;

std::string usageOf(const Command &C) {
  std::string Text = "heathercross " + std::string(C.Group_);
  for (const std::string_view Part : {C.Verb_, C.Arguments_})
    if (!Part.empty())
      Text += " " + std::string(Part);
  return Text;
}

/// Whether the words name this command, or its group when they are shorter.
bool isNamedBy(const Command &C, const std::vector<std::string> &Words) {
  if (Words.empty() || Words[0] != C.Group_)
    return false;
  return C.Verb_.empty() || (Words.size() > 1 && Words[1] == C.Verb_);
}

std::string helpOfOne(const Command &C) {
  std::string Text = "usage: " + usageOf(C) + " [FLAGS]\n\n" +
                     std::string(C.Text_) + "\n\nexample:\n  " +
                     std::string(C.Example_) + "\n\nflags:\n";
  for (const std::string_view Flag : C.Flags_)
    Text += flagHelp(Flag);
  for (const std::string_view Flag : globalFlags())
    Text += flagHelp(Flag);
  return Text;
}

std::string shortHelp(const Command &C) {
  std::string Text = "  " + usageOf(C).substr(sizeof("heathercross"));
  Text.resize(std::max(Text.size() + 1, HelpColumn), ' ');
  return Text + std::string(C.Text_) + "\n";
}

std::string helpOfGroup(const std::string &Group) {
  std::string Text = "usage: heathercross [FLAGS] COMMAND\n\ncommands:\n";
  for (const Command &C : commands())
    if (Group.empty() || C.Group_ == Group)
      Text += shortHelp(C);
  Text += "\nexit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown "
          "outcome\n\nflags:\n";
  for (const std::string_view Flag : globalFlags())
    Text += flagHelp(Flag);
  return Text + "\n\"heathercross COMMAND --help\" shows an example.\n";
}

CommandList gatherCommands() {
  CommandList All;
  for (const auto &Group :
       {ticketCommands(), fleetCommands(), waveCommands(), jobCommands(),
        processCommands(), tokenCommands(), explainCommands()})
    std::ranges::copy(Group, std::back_inserter(All));
  return All;
}

} // namespace

const CommandList &commands() {
  static const CommandList All = gatherCommands();
  return All;
}

std::string help(const std::vector<std::string> &Words) {
  const auto I = std::ranges::find_if(
      commands(), [&](const Command &C) { return isNamedBy(C, Words); });
  if (I != commands().end())
    return helpOfOne(*I);
  const bool IsGroup =
      !Words.empty() && std::ranges::any_of(commands(), [&](const Command &C) {
        return C.Group_ == Words[0];
      });
  return helpOfGroup(IsGroup ? Words[0] : "");
}

const Command &takeCommand(std::vector<std::string> &Words) {
  const auto I = std::ranges::find_if(
      commands(), [&](const Command &C) { return isNamedBy(C, Words); });
  if (I == commands().end())
    raise(UsageError(Words.empty() ? "no command" : "unknown command"));
  Words.erase(Words.begin(), Words.begin() + (I->Verb_.empty() ? 1 : 2));
  if (Words.size() < I->MinArguments_ || Words.size() > I->MaxArguments_)
    raise(UsageError("usage: " + usageOf(*I)));
  return *I;
}

std::uint64_t numberOf(const std::string &Word, const char *What) {
  std::uint64_t Number = 0;
  const char *End = Word.data() + Word.size();
  const auto [Stop, Code] = std::from_chars(Word.data(), End, Number);
  if (Code != std::errc() || Stop != End)
    raise(UsageError(std::string(What) + " is no number: " + Word));
  return Number;
}

std::vector<std::string> wordsOrInput(const Arguments &Words) {
  if (Words.size() != 1 || Words[0] != "-")
    return Words;
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(std::cin, Line);)
    if (!Line.empty())
      Lines.push_back(Line);
  return Lines;
}

} // namespace heathercross::cli
