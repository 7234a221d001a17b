// Authentication by bearer token, and the rights of each kind of caller.
#include "access/access.h"

#include <QCryptographicHash>

#include <algorithm>

namespace heathercross::access {

namespace {

constexpr std::size_t MaxTokenLength = 256;

/// In the order of PrincipalKind.
constexpr std::array<std::string_view, 3> KindNames{"operator", "team",
                                                    "metrics"};

/// Ignores the case of ASCII letters. Other characters that differ only in bit
/// 5 compare equal too.
bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::ranges::equal(
      A, B, [](char X, char Y) { return (X | 0x20) == (Y | 0x20); });
}

} // namespace

std::string_view name(PrincipalKind K) {
  return KindNames[static_cast<std::size_t>(K)];
}

std::optional<PrincipalKind> parseKind(std::string_view Word) {
  const auto *const I = std::ranges::find(KindNames, Word);
  if (I == KindNames.end())
    return std::nullopt;
  return static_cast<PrincipalKind>(I - KindNames.begin());
}

bool allows(PrincipalKind Kind, Right R) {
  switch (R) {
  case Right::Call:
    return Kind == PrincipalKind::Team;
  case Right::ReadView:
    return Kind != PrincipalKind::Metrics;
  case Right::ManageTickets:
  case Right::Dump:
    return Kind == PrincipalKind::Operator;
  case Right::Metrics:
    return Kind != PrincipalKind::Team;
  }
  return false;
}

Forbidden::Forbidden(const Principal &Caller)
    : Error(std::string(name(Caller.Kind_)) + " " + Caller.Name_ +
            " has no right to this call") {}

TokenDigest digestOf(std::string_view Token) {
  const QByteArray Hash = QCryptographicHash::hash(
      QByteArrayView(Token.data(), static_cast<qsizetype>(Token.size())),
      QCryptographicHash::Sha256);
  TokenDigest Digest{};
  std::ranges::copy(Hash, Digest.begin());
  return Digest;
}

bool equalInConstantTime(const TokenDigest &A, const TokenDigest &B) {
  std::uint8_t Difference = 0;
  for (std::size_t I = 0; I != A.size(); ++I)
    Difference |= A[I] ^ B[I];
  return Difference == 0;
}

std::optional<Principal>
Authenticator::authenticate(std::string_view Token) const {
  if (Token.empty() || Token.size() > MaxTokenLength)
    return std::nullopt;
  const TokenDigest Digest = digestOf(Token);
  const TokenEntry *Match = nullptr;
  for (const TokenEntry &E : Entries_)
    if (equalInConstantTime(E.Digest_, Digest))
      Match = &E;
  if (!Match)
    return std::nullopt;
  return Match->Principal_;
}

Principal Authenticator::authorize(std::string_view AuthorizationHeader,
                                   Right R) const {
  const auto Token = bearerToken(AuthorizationHeader);
  const auto Caller = Token ? authenticate(*Token) : std::nullopt;
  if (!Caller)
    raise(Unauthenticated());
  if (!allows(Caller->Kind_, R))
    raise(Forbidden(*Caller));
  return *Caller;
}

std::optional<std::string_view> bearerToken(std::string_view Header) {
  constexpr std::string_view Scheme = "bearer ";
  if (!equalsIgnoringCase(Header.substr(0, Scheme.size()), Scheme))
    return std::nullopt;
  return Header.substr(Scheme.size());
}

} // namespace heathercross::access
