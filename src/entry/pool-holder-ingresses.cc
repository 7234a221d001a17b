// PoolHolder's ingresses: which requests for unknown ids it may answer while
// routes move between pools.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"

#include <algorithm>
#include <utility>

namespace heathercross::entry {

using detail::RetryPause;
using detail::toQString;

namespace {

using platform_api::StoreOutcome;
using platform_api::StoreReply;

constexpr Millis IngressTimeout{1500};

platform_api::RowPlace placeOf(const schedule::IngressId &Id) {
  return {IngressTable, "", Id.str()};
}

/// The row of an ingress in a reply. An answer begins with the next key if
/// there is no such row.
const platform_api::StoredRow *rowOf(const StoreReply &R,
                                     const schedule::IngressId &Id) {
  const auto It = std::ranges::find_if(R.Rows_, [&](const auto &Row) {
    return Row.Place_.Key_ == Id.str() && !Row.Removed_;
  });
  return It == R.Rows_.end() ? nullptr : &*It;
}

schedule::IngressOwners ownersIn(const platform_api::StoredRow *Row) {
  return Row ? decodeOwners(Row->Value_) : schedule::IngressOwners();
}

} // namespace

bool PoolHolder::answerUnknown(const IngressCall &Ingress, bool IsSubmission,
                               const AnswerHandler &OnAnswer) {
  using Kind = JobAnswer::Kind;
  const schedule::IngressId &Id = Ingress.Ingress_;
  const auto Answer = [&OnAnswer](const JobAnswer &A) {
    OnAnswer(A);
    return true;
  };
  if (Ingress.FormerFor_ > 0) {
    if (HandingOver_)
      return Answer(Kind::NotHolder);
    if (Ingresses_.seal(Id, Ingress.FormerFor_)) {
      Context_.Log_.write(
          "ingress-sealed",
          {{"pool", toQString(Pool_.str())},
           {"ingress", toQString(Id.str())},
           {"version", static_cast<qint64>(Ingress.FormerFor_)}});
      putIngresses();
    }
    // The promise holds for later holders once all changes so far are stored.
    Waiters_.push_back({Journal_.last(), OnAnswer, {Kind::NoSuchJob}});
    scheduleRound();
    return true;
  }
  // Entries of earlier versions name no ingress.
  if (Id.empty())
    return !IsSubmission && Answer(Kind::NoSuchJob);
  if (!Ingresses_.isOpen(Id))
    return Answer(Kind::NotHolder);
  if (!Ingresses_.allAsked(Id, Ingress.Asked_, Ingress.AskedFor_)) {
    JobAnswer A(Kind::AskFormer);
    A.Former_ = Ingresses_.find(Id)->Former_;
    A.ClaimedFor_ = Ingresses_.find(Id)->Claimed_;
    return Answer(A);
  }
  return !IsSubmission && Answer(Kind::NoSuchJob);
}

void PoolHolder::putIngresses() {
  Journal_.put({schedule::RowKind::Roster, IngressesKey,
                encodeIngresses(Ingresses_.states())},
               true, Context_.Clock_.now());
}

void PoolHolder::claimIngress() {
  if (ClaimingIngress_ || HandingOver_ || !mayGiveOrders() ||
      Context_.Clock_.now() < NextClaim_)
    return;
  const auto Id = Ingresses_.nextClaim();
  if (!Id)
    return;
  ClaimingIngress_ = true;
  Context_.Store_.readRow(placeOf(*Id), IngressTimeout,
                          guarded(this, [this, Id = *Id](const StoreReply &R) {
                            if (R.Outcome_ != StoreOutcome::Ok)
                              return claimEnded(
                                  Id, platform_api::outcomeName(R.Outcome_));
                            writeClaim(Id, R);
                          }));
}

void PoolHolder::writeClaim(const schedule::IngressId &Id,
                            const StoreReply &Read) {
  const platform_api::StoredRow *Row = rowOf(Read, Id);
  const auto Owners = Ingresses_.claim(ownersIn(Row));
  if (!Owners)
    return claimEnded(Id, "later-claim");
  Context_.Store_.transact(
      {{{placeOf(Id), Row ? Row->Version_ : RowVersion()}},
       {{placeOf(Id), encodeOwners(*Owners)}}},
      IngressTimeout,
      guarded(this, [this, Id, Owners = *Owners](const StoreReply &R) {
        if (R.Outcome_ == StoreOutcome::Ok && !Lost_) {
          Ingresses_.claimed(Id, Owners);
          putIngresses();
        }
        claimEnded(Id, platform_api::outcomeName(R.Outcome_));
      }));
}

void PoolHolder::claimEnded(const schedule::IngressId &Id,
                            const char *Outcome) {
  const bool Claimed = Ingresses_.isOpen(Id);
  const schedule::IngressState *S = Ingresses_.find(Id);
  const QJsonObject F{
      {"pool", toQString(Pool_.str())},
      {"ingress", toQString(Id.str())},
      {"version", static_cast<qint64>(Configuration_.Version_)},
      {"former_pools", static_cast<qint64>(S ? S->Former_.size() : 0)},
      {"outcome", Outcome}};
  if (Claimed)
    Context_.Log_.write("ingress-claimed", F);
  else
    Context_.Log_.write("ingress-claim-failed", F, process::LineClass::Routine);
  ClaimingIngress_ = false;
  NextClaim_ = Claimed ? Instant() : Context_.Clock_.now() + RetryPause;
  scheduleRound();
}

} // namespace heathercross::entry
