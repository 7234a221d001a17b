// HTTP handlers with which teams submit, read and cancel jobs.
#pragma once

#include "daemon/fleet-feed.h"
#include "daemon/history.h"
#include "daemon/job-index.h"
#include "daemon/job-runner.h"
#include "http/http-server.h"
#include "job/job-requests.h"

#include <QObject>

#include <memory>
#include <string>

namespace heathercross::daemon {

/// Prefix of a job's result that is stored as an object; the object's name
/// follows.
inline const std::string ObjectPrefix = "object:";

/// Submits, shows and cancels jobs. A submission is acknowledged only after the
/// job's row is committed.
class JobService : public QObject {
public:
  JobService(std::string Incarnation, History &H, store::TableClient &Platform,
             FleetFeed &Feed, JobIndex &Index);

  void submit(const http::Request &R, http::Responder Responder,
              const TeamId &Team);
  void show(const JobId &Job, http::Responder Responder, const TeamId &Team);
  void result(const JobId &Job, http::Responder Responder, const TeamId &Team);
  void list(const std::string &State, http::Responder Responder,
            const TeamId &Team);
  void cancel(const http::Request &R, http::Responder Responder,
              const TeamId &Team);
  /// Sets the callback that runs after a job is accepted here.
  void onAccepted(std::function<void()> Callback) {
    OnAccepted_ = std::move(Callback);
  }

private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  void decide(const SubmissionPtr &S, const store::RowResult &R);
  void retry(const SubmissionPtr &S);
  void readAndDecide(const SubmissionPtr &S);
  void acknowledge(const SubmissionPtr &S, const job::JobRow &Job);
  void commitCancellations(const std::vector<JobId> &Ids, const TeamId &Team,
                           http::Responder Responder, unsigned Try);
  AttemptId nextAttempt();

  std::string Incarnation_;
  History &History_;
  store::TableClient &Platform_;
  FleetFeed &Feed_;
  JobIndex &Index_;
  std::function<void()> OnAccepted_;
  std::uint64_t LastAttempt_ = 0;
};

} // namespace heathercross::daemon
