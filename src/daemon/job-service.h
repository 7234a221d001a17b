// What teams ask of their jobs, over HTTP.
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

/// In a job's row, marks the name of the object that holds a long result.
inline const std::string ObjectPrefix = "object:";

/// Accepts, shows and cancels jobs. A job is acknowledged once its row is
/// committed.
class JobService : public QObject {
public:
  JobService(std::string Incarnation, History &H, store::TableClient &Platform,
             FleetFeed &Feed, JobIndex &Index);

  void submit(const http::Request &R, http::Responder To, const TeamId &Team);
  void show(const JobId &Job, http::Responder To, const TeamId &Team);
  void result(const JobId &Job, http::Responder To, const TeamId &Team);
  void list(const std::string &State, http::Responder To, const TeamId &Team);
  void cancel(const http::Request &R, http::Responder To, const TeamId &Team);
  /// Runs after a job was accepted here.
  void onAccepted(std::function<void()> Done) { OnAccepted_ = std::move(Done); }

private:
  struct Submission;
  using SubmissionPtr = std::shared_ptr<Submission>;

  void decide(const SubmissionPtr &S, const store::RowResult &R);
  void tryAgain(const SubmissionPtr &S);
  void readAndDecide(const SubmissionPtr &S);
  void accepted(const SubmissionPtr &S, const job::JobRow &Job);
  void commitCancels(const std::vector<JobId> &Ids, const TeamId &Team,
                     http::Responder To, unsigned Try);
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
