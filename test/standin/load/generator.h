// Sends the requests of a run at their due times and records their outcomes.
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

/// An open-loop load generator: requests are sent at their due times, whether
/// or not earlier ones have been answered.
class Generator : public QObject {
public:
  Generator(const LoadOptions &Options, HistoryFile &History);
  ~Generator() override;

  /// Starts the run; Finished is called when every request has ended.
  void start(std::function<void()> Finished);
  Summary &summary() { return Summary_; }

private:
  /// A request and the state of its tries.
  struct LoadRequest {
    std::string Id_;
    std::string Key_;
    QByteArray Body_;
    int DeclaredMs_ = 0;
    QByteArray Digest_;
    std::size_t Pool_ = 0;
    /// The intended send time, in microseconds since 1970.
    std::int64_t DueUs_ = 0;
    int Tries_ = 0;
    /// Whether a try ended without proof that its work has not run.
    bool MayHaveRun_ = false;
    std::size_t LastTarget_ = SIZE_MAX;
  };
  using RequestPtr = std::shared_ptr<LoadRequest>;

  void onTimer();
  void setTimer();
  RequestPtr makeRequest(const Arrival &A);
  /// Draws a declared run time that differs from WorkMs_ by up to
  /// DeclaredSpread_.
  int drawDeclaredMs();
  /// Sends a request now, or queues it until a channel is idle.
  void submit(const RequestPtr &R);
  void send(const RequestPtr &R, Channel &C, std::size_t Target);
  QByteArray encodeRequest(const LoadRequest &R) const;
  void onEnded(const RequestPtr &R, std::size_t Target, TransportResult Result,
               const HttpResponse &Response);
  Outcome makeOutcome(const LoadRequest &R, TransportResult Result,
                      const HttpResponse &Response) const;
  bool shouldRepeat(const LoadRequest &R, const Outcome &O) const;
  void sendWaiting();
  void finishIfDone();
  void recordSent(const LoadRequest &R, std::size_t Target);
  void recordAnswer(const LoadRequest &R, std::size_t Target, const Outcome &O,
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
  Arrival NextArrival_;
  std::int64_t StartUs_ = 0;
  std::int64_t Sequence_ = 0;
  std::int64_t Unfinished_ = 0;
  std::deque<RequestPtr> Waiting_;
  QTimer RetryTimer_;
};

} // namespace heathercross::standin
