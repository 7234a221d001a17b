// Who may call an entry instance, and what each caller may do.
#pragma once

#include "heathercross/error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::access {

/// What kind of caller a token stands for.
enum class PrincipalKind : std::uint8_t { Operator, Team, Metrics };

/// The word for a kind, as the tokens file has it.
std::string_view name(PrincipalKind K);
std::optional<PrincipalKind> parseKind(std::string_view Word);

/// An authenticated caller.
struct Principal {
  PrincipalKind Kind_ = PrincipalKind::Team;
  /// The operator's or team's name.
  std::string Name_;
  bool operator==(const Principal &) const = default;
};

/// What a call needs to be allowed to do.
enum class Right : std::uint8_t {
  /// Send requests, and submit, read and cancel the own team's jobs.
  Call,
  /// Read the view, pools, waves and instances.
  ReadView,
  /// Submit tickets and vote on them.
  Change,
  /// Read the dump.
  Dump,
  /// Read the metrics.
  Metrics,
};

/// Whether a kind of caller has a right.
bool allows(PrincipalKind Kind, Right R);

/// A call without a known token.
class Unauthenticated : public Error {
public:
  Unauthenticated() : Error("a known token is needed") {}
  const char *code() const noexcept override { return "unauthenticated"; }
};

/// A call by someone known who has no right to it.
class Forbidden : public Error {
public:
  explicit Forbidden(const Principal &Caller);
  const char *code() const noexcept override { return "forbidden"; }
};

/// The SHA-256 of a token.
using TokenDigest = std::array<std::uint8_t, 32>;
TokenDigest digestOf(std::string_view Token);

/// One line of a tokens file.
struct TokenEntry {
  TokenDigest Digest_{};
  Principal Principal_;
};

/// What is wrong with a line of a tokens file.
enum class TokenFault : std::uint8_t {
  /// Not "SHA256-HEX KIND NAME".
  Malformed,
  /// The digest isn't 64 hex digits.
  BadDigest,
  UnknownKind,
  /// The name has other characters than letters, digits, '.', '-', '_'.
  BadName,
  /// The same digest stands on an earlier line.
  Duplicate,
};

/// A faulty line; the line itself isn't repeated, since it is near a secret.
struct TokenProblem {
  std::uint32_t Line_ = 0;
  TokenFault Fault_ = TokenFault::Malformed;
  bool operator==(const TokenProblem &) const = default;
};

/// A tokens file with faulty lines; carries all of them.
class TokensFileError : public Error {
public:
  TokensFileError(const std::string &File, std::vector<TokenProblem> Problems);

  const char *code() const noexcept override { return "bad-tokens-file"; }
  const std::vector<TokenProblem> &problems() const { return Problems_; }

private:
  std::vector<TokenProblem> Problems_;
};

/// The known tokens of one entry instance.
class Access {
public:
  explicit Access(std::vector<TokenEntry> Entries)
      : Entries_(std::move(Entries)) {}

  /// The caller that a token stands for. The time it takes doesn't depend on
  /// how much of a digest matches.
  std::optional<Principal> authenticate(std::string_view Token) const;

  /// The caller of an HTTP call, from its Authorization header. Throws
  /// Unauthenticated without a known token, Forbidden without the right.
  Principal require(std::string_view AuthorizationHeader, Right R) const;

private:
  std::vector<TokenEntry> Entries_;
};

/// The token of an "Authorization: Bearer TOKEN" header's value; nothing for
/// another scheme.
std::optional<std::string_view> bearerToken(std::string_view Header);

/// Parses a tokens file's text; File names it in failures. Throws
/// TokensFileError.
Access parseTokens(const std::string &Text, const std::string &File);

/// Reads a tokens file. Throws SecretFileError and TokensFileError.
Access loadTokens(const std::string &File);

/// The line that lets a token in.
std::string tokenLine(std::string_view Token, const Principal &P);

} // namespace heathercross::access
