// The command that generates lines of a tokens file.
#include "access/access.h"
#include "cli/command.h"
#include "cli/errors.h"

#include <iostream>

namespace heathercross::cli {

namespace {

/// Returns the token of --token-file, or the first line of the standard input.
std::string readToken(const Session &S) {
  std::string Token = S.options().Token_;
  if (Token.empty())
    std::getline(std::cin, Token);
  if (Token.empty())
    raise(UsageError("no token given"));
  return Token;
}

ExitCode printTokenLine(Session &S, const Arguments &A) {
  const auto Kind = access::parseKind(A[0]);
  if (!Kind)
    raise(UsageError("a kind is operator, team or metrics"));
  const std::string Line = access::tokenLine(readToken(S), {*Kind, A[1]});
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
           "Prints the line that admits a token; reads the token from the "
           "input.",
           "openssl rand -hex 32 | tee ada.token | heathercross token "
           "operator ada",
           {},
           printTokenLine}};
}

} // namespace heathercross::cli
