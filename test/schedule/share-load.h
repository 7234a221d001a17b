// A load replay: submissions of several client accounts to a pool, with and
// without guaranteed rates.
#pragma once

#include "accounts/account-rate.h"
#include "schedule/model-pool.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace heathercross::schedule::test {

/// A submission of the replayed load.
struct ReplayedJob {
  Micros At_{0};
  AccountId Account_;
  JobSpec Spec_;
};

/// What became of an account's submissions.
struct ReplayResult {
  std::uint32_t Submitted_ = 0;
  std::uint32_t InTime_ = 0;
  std::uint32_t RejectedOverShare_ = 0;
  std::uint32_t AcceptedOverShare_ = 0;
  double inTimeShare() const {
    return Submitted_ == 0 ? 1 : static_cast<double>(InTime_) / Submitted_;
  }
};

/// A pool whose callers have accounts, with the admission of a pool's holder.
class SharePool : public ModelPool {
public:
  /// Directory is empty for a pool without guaranteed rates.
  SharePool(const accounts::AccountDirectory &Directory, int WorkerCount) {
    Rates_.setAccounts(Directory, Now_);
    for (int I = 0; I < WorkerCount; ++I)
      addWorker("w" + std::to_string(I), "r" + std::to_string(I / 4), 16'000);
    run(Millis(100));
  }

  /// Plays the load and returns the results by account.
  std::map<AccountId, ReplayResult>
  replay(const std::vector<ReplayedJob> &Load) {
    const Instant Start = Now_;
    for (const ReplayedJob &R : Load) {
      while (Now_ - Start < R.At_)
        tickOnce();
      submitAs(R);
    }
    for (const Instant End = Now_ + Seconds(8); Now_ < End;)
      tickOnce();
    return Results_;
  }

private:
  void tickOnce() {
    run(Tick);
    std::erase_if(Open_, [this](const JobId &Id) {
      const Job &J = *Scheduler_.find(Id);
      if (!isFinal(J.state()))
        return false;
      const bool InTime =
          Now_ - J.accepted() <= objective(J, Scheduler_.settings(Queue_));
      Results_[J.account()].InTime_ += InTime ? 1 : 0;
      return true;
    });
  }

  void submitAs(const ReplayedJob &R) {
    const JobId Id("j" + std::to_string(Count_++));
    ReplayResult &Result = Results_[R.Account_];
    ++Result.Submitted_;
    Job J(Id, Queue_, R.Spec_, Now_, R.Account_);
    J.setShare(Rates_.recordSubmission(R.Account_, Id, Now_));
    const bool OverShare = J.share() == accounts::RateShare::OverShare;
    const QueueSettings &Q = Scheduler_.settings(Queue_);
    const PoolLoad Load = Scheduler_.loadAhead(J, Now_, wall());
    if (OverShare && !fitsBehindGuaranteed(J, Q, Load)) {
      ++Result.RejectedOverShare_;
      return;
    }
    if (!worthAccepting(J, Q, Load.WorkAhead_, Load.Cores_))
      return;
    Result.AcceptedOverShare_ += OverShare ? 1 : 0;
    Specs_[Id] = R.Spec_;
    Accepted_[Id] = Now_;
    AcceptedIn_[Id] = epoch();
    Scheduler_.recordArrival(J, Now_);
    Scheduler_.admit(std::move(J));
    Open_.push_back(Id);
  }

  accounts::AccountRates Rates_;
  std::vector<JobId> Open_;
  std::map<AccountId, ReplayResult> Results_;
  std::uint64_t Count_ = 0;
};

} // namespace heathercross::schedule::test
