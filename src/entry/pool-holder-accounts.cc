// PoolHolder's accounting of the guaranteed rates of client accounts.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"

#include <cmath>

namespace heathercross::entry {

using accounts::RateShare;
using detail::toQString;

RateShare PoolHolder::shareOf(const schedule::Job &J, Instant Now) {
  const RateShare Share =
      AccountRates_.recordSubmission(J.account(), J.id(), Now);
  // Scheduled jobs have work to do long after the excess has ended.
  return J.spec().Repeats_ > 0 ? RateShare::Guaranteed : Share;
}

void PoolHolder::setOtherPools(const accounts::ArrivalRates &Rates) {
  AccountRates_.setOtherPools(Rates, Context_.Clock_.now());
}

void PoolHolder::logAccountShares() {
  const Instant Now = Context_.Clock_.now();
  for (const accounts::ShareChange &C : AccountRates_.takeChanges(Now)) {
    QJsonObject F{{"pool", toQString(Pool_.str())},
                  {"account", toQString(C.Account_.str())}};
    if (const accounts::RateBucket *B = AccountRates_.find(C.Account_)) {
      F["weight"] = static_cast<qint64>(B->weight());
      F["jobs_per_s"] = static_cast<qint64>(B->arrivals(Now));
      F["other_pools_jobs_per_s"] = std::round(B->otherPools(Now));
    }
    if (!C.Exceeds_)
      F["over_share_jobs"] = static_cast<qint64>(C.OverShareJobs_);
    Context_.Log_.write(
        C.Exceeds_ ? "account-over-share" : "account-within-share", F);
    if (C.Exceeds_)
      Context_.Metrics_.add("heathercross_account_over_share_total",
                            "Times that an account began to exceed its "
                            "guaranteed rate in a pool.");
  }
}

} // namespace heathercross::entry
