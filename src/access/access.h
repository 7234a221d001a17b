// Authentication and authorization of the callers of an entry instance.
#pragma once

#include "heathercross/error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::access {

/// The kind of caller that a token identifies.
enum class PrincipalKind : std::uint8_t { Operator, Team, Metrics };

/// The name of a kind in the tokens file, and the kind of a name.
std::string_view name(PrincipalKind K);
std::optional<PrincipalKind> parseKind(std::string_view Word);

/// An authenticated caller.
struct Principal {
  PrincipalKind Kind_ = PrincipalKind::Team;
  /// The name of the operator, team or metrics reader.
  std::string Name_;
  bool operator==(const Principal &) const = default;
};

/// The permission that a call requires.
enum class Right : std::uint8_t {
  /// Send requests, and submit, read and cancel jobs of the caller's own team.
  Call,
  /// Read the agreed view, pools, waves and instances.
  ReadView,
  /// Submit change tickets and vote on them.
  ManageTickets,
  /// Read the diagnostic dump of the process.
  Dump,
  /// Read the metrics.
  Metrics,
};

/// Whether a kind of caller has a right.
bool allows(PrincipalKind Kind, Right R);

/// Thrown for a call without a known token.
class Unauthenticated : public Error {
public:
  Unauthenticated() : Error("a known token is needed") {}
  const char *code() const noexcept override { return "unauthenticated"; }
};

/// Thrown when an authenticated caller lacks the right that a call requires.
class Forbidden : public Error {
public:
  explicit Forbidden(const Principal &Caller);
  const char *code() const noexcept override { return "forbidden"; }
};

/// The SHA-256 digest of a token.
using TokenDigest = std::array<std::uint8_t, 32>;
TokenDigest digestOf(std::string_view Token);

/// Compares all bytes even after a difference, so that the time taken doesn't
/// depend on the digests.
bool equalInConstantTime(const TokenDigest &A, const TokenDigest &B);

/// An entry of the tokens file.
struct TokenEntry {
  TokenDigest Digest_{};
  Principal Principal_;
};

/// The kind of error in a line of a tokens file.
enum class TokenFault : std::uint8_t {
  /// The line isn't of the form "SHA256-HEX KIND NAME".
  Malformed,
  /// The digest isn't 64 hexadecimal digits.
  BadDigest,
  UnknownKind,
  /// The name is longer than 64 characters, or has others than letters, digits,
  /// '.', '-' and '_'.
  BadName,
  /// An earlier line has the same digest.
  Duplicate,
};

/// An invalid line of a tokens file. Its text isn't included, since it may
/// contain a token.
struct TokenProblem {
  std::uint32_t LineNumber_ = 0;
  TokenFault Fault_ = TokenFault::Malformed;
  bool operator==(const TokenProblem &) const = default;
};

/// Thrown for a tokens file with invalid lines; lists all of them.
class TokensFileError : public Error {
public:
  TokensFileError(const std::string &File, std::vector<TokenProblem> Problems);

  const char *code() const noexcept override { return "bad-tokens-file"; }
  const std::vector<TokenProblem> &problems() const { return Problems_; }

private:
  std::vector<TokenProblem> Problems_;
};

/// Identifies callers by the tokens that one entry instance accepts, and checks
/// their rights.
class Authenticator {
public:
  explicit Authenticator(std::vector<TokenEntry> Entries)
      : Entries_(std::move(Entries)) {}

  /// Returns the caller that a token identifies. The time it takes doesn't
  /// depend on how much of a digest matches, which would help to guess one.
  std::optional<Principal> authenticate(std::string_view Token) const;

  /// Identifies a caller by the value of the Authorization header and checks
  /// its right. Throws Unauthenticated without a known token, and Forbidden
  /// when the caller lacks the right.
  Principal authorize(std::string_view AuthorizationHeader, Right R) const;

private:
  std::vector<TokenEntry> Entries_;
};

/// Returns the token in the value of an Authorization header, "Bearer TOKEN",
/// or nullopt for another scheme.
std::optional<std::string_view> bearerToken(std::string_view Header);

/// Parses the text of a tokens file; File is its name for error messages.
/// Throws TokensFileError.
Authenticator parseTokens(const std::string &Text, const std::string &File);

/// Reads and parses a tokens file. Throws SecretFileError and TokensFileError.
Authenticator loadTokens(const std::string &File);

/// Returns the line of a tokens file that accepts a token.
std::string tokenLine(std::string_view Token, const Principal &P);

} // namespace heathercross::access
