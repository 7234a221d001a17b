// Which pools accept jobs under a host and path prefix.
#include "schedule/ingress.h"

#include "access/access.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heathercross::schedule {

IngressId ingressOf(const std::string &Host, const std::string &Prefix) {
  constexpr std::size_t Bytes = 20;
  constexpr unsigned HalfByte = 4;
  constexpr std::array<char, 17> Digits{"0123456789abcdef"};
  const auto Digest = access::digestOf(Host + '\n' + Prefix);
  std::string Text;
  for (std::size_t I = 0; I < Bytes; ++I) {
    const unsigned Byte = Digest.at(I);
    Text += Digits.at(Byte >> HalfByte);
    Text += Digits.at(Byte & 0xFU);
  }
  return IngressId(std::move(Text));
}

void PoolIngresses::configure(std::uint64_t Version,
                              std::set<IngressId> Routed) {
  Version_ = Version;
  Routed_ = std::move(Routed);
}

std::optional<IngressId> PoolIngresses::nextClaim() const {
  const auto It = std::ranges::find_if(
      Routed_, [this](const IngressId &Id) { return !isOpen(Id); });
  return It == Routed_.end() ? std::nullopt : std::optional(*It);
}

std::optional<IngressOwners>
PoolIngresses::claim(const IngressOwners &Stored) const {
  IngressOwners Claimed = Stored;
  for (const auto &[Pool, Version] : Stored)
    if (Pool != Self_ && Version >= Version_)
      return std::nullopt;
  Claimed[Self_] = Version_;
  return Claimed;
}

void PoolIngresses::claimed(const IngressId &Id, const IngressOwners &Stored) {
  IngressState &S = States_[Id];
  S.Claimed_ = Stored.at(Self_);
  S.Former_.clear();
  for (const auto &[Pool, Version] : Stored)
    if (Pool != Self_)
      S.Former_.insert(Pool);
}

const IngressState *PoolIngresses::find(const IngressId &Id) const {
  const auto It = States_.find(Id);
  return It == States_.end() ? nullptr : &It->second;
}

bool PoolIngresses::isOpen(const IngressId &Id) const {
  const IngressState *S = find(Id);
  return S && S->isOpen();
}

bool PoolIngresses::allAsked(const IngressId &Id, const std::set<PoolId> &Asked,
                             std::uint64_t AskedFor) const {
  const IngressState *S = find(Id);
  return !S || S->Former_.empty() ||
         (S->Claimed_ == AskedFor && std::ranges::includes(Asked, S->Former_));
}

bool PoolIngresses::seal(const IngressId &Id, std::uint64_t Version) {
  IngressState &S = States_[Id];
  if (S.Sealed_ >= Version)
    return false;
  S.Sealed_ = Version;
  return true;
}

} // namespace heathercross::schedule
