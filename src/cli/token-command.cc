// The command that makes lines for tokens files.
#include "access/access.h"
#include "cli/command.h"
#include "cli/errors.h"

#include <iostream>

namespace heathercross::cli {

namespace {

/// The token of --token-file, or the first line of the standard input.
std::string givenToken(const Session &S) {
  std::string Token = S.options().Token_;
  if (Token.empty())
    std::getline(std::cin, Token);
  if (Token.empty())
    raise(UsageError("no token given"));
  return Token;
}

ExitCode token(Session &S, const Arguments &A) {
  const auto Kind = access::parseKind(A[0]);
  if (!Kind)
    raise(UsageError("a kind is operator, team or metrics"));
  const std::string Line = access::tokenLine(givenToken(S), {*Kind, A[1]});
  try {
    access::parseTokens(Line, "the name");
  } catch (const access::TokensFileError &E) {
    raise(UsageError(E.what()));
  }
  std::cout << Line << "\n";
  return ExitCode::Done;
}

} // namespace

CommandList tokenCommands() {
  return {{"token",
           "",
           "KIND NAME",
           2,
           2,
           "Prints the line that lets a token in; reads the token from the "
           "input.",
           "openssl rand -hex 32 | tee ada.token | heathercross token "
           "operator ada",
           {},
           token}};
}

} // namespace heathercross::cli
