// Sends the requests of a run when they are due and records what came of them.
#pragma once

#include "arrivals.h"
#include "balancer.h"
#include "options.h"
#include "standin/common/history.h"
#include "summary.h"

#include <QObject>
#include <QSocketNotifier>

#include <deque>
#include <functional>
#include <memory>

namespace heathercross::standin {

/// An open loop: requests are due by the clock, whether or not earlier ones
/// have been answered.
class Generator : public QObject {
public:
  Generator(const LoadOptions &Options, HistoryFile &History);
  ~Generator() override;

  /// Starts; Finished is called when every request has ended.
  void start(std::function<void()> Finished);
  Summary &summary() { return Summary_; }

private:
  /// One request with all its repeats.
  struct Job {
    std::string Id_;
    std::string Key_;
    QByteArray Body_;
    int DeclaredMs_ = 0;
    QByteArray Digest_;
    std::size_t Pool_ = 0;
    /// The intended send time, in microseconds since 1970.
    std::int64_t DueUs_ = 0;
    int Tries_ = 0;
    /// Whether a try ended without saying whether it ran.
    bool Unsettled_ = false;
    std::size_t LastTarget_ = SIZE_MAX;
  };
  using JobPtr = std::shared_ptr<Job>;

  void wake();
  void arm();
  JobPtr makeJob(const Arrival &A);
  /// A declared run time, off by up to the options' factor.
  int drawDeclared();
  /// Sends a job now, or lets it wait for an idle channel.
  void submit(const JobPtr &J);
  void send(const JobPtr &J, Channel &C, std::size_t Target);
  QByteArray encodeRequest(const Job &J) const;
  void ended(const JobPtr &J, std::size_t Target, Transport How,
             const HttpResponse &Response);
  Ending endingOf(const Job &J, Transport How,
                  const HttpResponse &Response) const;
  bool repeats(const Job &J, const Ending &E) const;
  void drainWaiting();
  void finishIfDone();
  void recordSent(const Job &J, std::size_t Target);
  void recordEnd(const Job &J, std::size_t Target, const Ending &E,
                 const HttpResponse &Response);

  const LoadOptions &Options_;
  HistoryFile &History_;
  Arrivals Arrivals_;
  Balancer Balancer_;
  Summary Summary_;
  std::mt19937_64 Random_;
  std::function<void()> Finished_;
  int TimerDescriptor_;
  QSocketNotifier Timer_;
  Arrival Next_;
  std::int64_t StartUs_ = 0;
  std::int64_t Sequence_ = 0;
  std::int64_t Open_ = 0;
  std::deque<JobPtr> Waiting_;
  QTimer WaitingTimer_;
};

} // namespace heathercross::standin
