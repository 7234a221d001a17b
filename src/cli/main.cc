// Entry point of heathercross, the operators' tool.
#include "access/secret-file.h"
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/flags.h"
#include "core/endpoint.h"

#include <QCoreApplication>

#include <algorithm>
#include <iostream>
#include <span>

using namespace heathercross;
using namespace heathercross::cli;

namespace {

std::string readToken() {
  if (FLAGS_token_file.empty())
    return {};
  std::string Token = access::readSecretFile(FLAGS_token_file);
  Token.erase(Token.find_last_not_of(" \t\r\n") + 1);
  return Token;
}

Options optionsFromFlags() {
  const auto Address = parseEndpoint(FLAGS_address);
  if (!Address)
    raise(UsageError("--address isn't IP:PORT: " + FLAGS_address));
  if (FLAGS_timeout_ms <= 0)
    raise(UsageError("--timeout-ms must be above zero"));
  return {Address->str(), readToken(), Millis(FLAGS_timeout_ms), FLAGS_json};
}

/// Throws UsageError for flags that the command doesn't accept.
void checkFlags(const Command &C, const CommandLine &Line) {
  for (const std::string &Flag : Line.Flags_) {
    const bool IsGlobal =
        std::ranges::find(globalFlags(), Flag) != globalFlags().end();
    if (!IsGlobal && std::ranges::find(C.Flags_, Flag) == C.Flags_.end())
      raise(UsageError("this command doesn't take --" + Flag));
  }
}

ExitCode run(std::span<char *const> Arguments) {
  CommandLine Line = parseCommandLine(Arguments);
  if (Line.Help_) {
    std::cout << help(Line.Words_);
    return ExitCode::Done;
  }
  const Command &C = extractCommand(Line.Words_);
  checkFlags(C, Line);
  Session S(optionsFromFlags());
  return C.Run_(S, Line.Words_);
}

} // namespace

int main(int Argc, char **Argv) {
  const QCoreApplication Application(Argc, Argv);
  const auto Count = static_cast<std::size_t>(Argc);
  ExitCode Result = ExitCode::Usage;
  try {
    Result = run(std::span(Argv, Count).subspan(1));
  } catch (const CallFailed &E) {
    printFailure(E, FLAGS_json);
    Result = E.exitCode();
  } catch (const Error &E) {
    printFailure(E, FLAGS_json);
  }
  return static_cast<int>(Result);
}
