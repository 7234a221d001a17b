// Serves the interface of a worker, with faults that tests inject.
#pragma once

#include "attempts.h"
#include "standin/common/history.h"
#include "standin/common/http-client.h"
#include "standin/common/http-server.h"
#include "tasks.h"

#include <QObject>

#include <random>
#include <set>
#include <string>

namespace heathercross::standin {

/// The configuration of one worker.
struct WorkerOptions {
  std::string Name_;
  std::string Zone_;
  std::string Rack_;
  quint16 Port_ = 0;
  std::size_t Slots_ = 8;
  std::size_t Connections_ = 64;
  int RebootMs_ = 2000;
  /// How far the worker's clock is ahead of the system clock.
  std::int64_t ClockOffsetMs_ = 0;
  Endpoint Platform_;
};

/// Serves the worker's interface on one port.
class Worker : public QObject {
public:
  Worker(WorkerOptions Options, HistoryFile &History);

  /// Returns false if the port is taken.
  bool start();
  quint16 port() const { return Server_.port(); }
  /// Reports this worker's state to the platform's instance list and retries
  /// until the report succeeds.
  void announce(const QByteArray &State);

private:
  /// A request that has started.
  struct Run {
    std::string Request_;
    std::string Attempt_;
    QByteArray Body_;
    QByteArray Digest_;
    bool Keyed_ = false;
    bool Poison_ = false;
    std::int64_t Boot_ = 0;
  };

  void handle(const HttpRequest &Request, const Responder &Respond);
  HttpResponse serve(const HttpRequest &Request);
  void run(const HttpRequest &Request, const Responder &Respond);
  static int runMs(const HttpRequest &Request);
  void beginRun(const Run &R, int WorkMs, const Responder &Respond);
  void endRun(const Run &R, const Responder &Respond);
  HttpResponse makeAnswer(const Run &R) const;
  /// Returns why an attempt must be refused; empty if it may start.
  std::string refusalReason(const HttpRequest &Request,
                            const std::string &Attempt, bool OverLimit) const;
  /// Returns why the worker starts neither requests nor tasks now; empty if it
  /// does.
  std::string blockReason() const;
  HttpResponse refuse(const std::string &Reason, const std::string &Request,
                      const std::string &Attempt);
  HttpResponse fence(const HttpRequest &Request);
  HttpResponse storedAnswer(const HttpRequest &Request) const;
  HttpResponse status() const;
  HttpResponse startTask(const HttpRequest &Request);
  HttpResponse controlTask(const HttpRequest &Request);
  HttpResponse setDraining(bool Draining);
  HttpResponse setFault(const HttpRequest &Request);
  /// Stops serving at once and restarts after DownMs; 0 means never.
  void goDown(const char *Kind, int DownMs);
  void restart();
  void startLeaving();
  /// Draws whether a call meets the fault, if it is of this kind.
  bool drawFault(const char *Kind);
  void record(const char *Kind, const std::string &Detail);
  std::int64_t clockMs() const;
  std::size_t busy() const { return Running_ + Tasks_.running(); }
  std::string id() const { return Options_.Name_; }

  WorkerOptions Options_;
  HistoryFile &History_;
  Attempts Attempts_;
  Tasks Tasks_;
  std::set<std::string> RunningAttempts_;
  std::size_t Running_ = 0;
  std::int64_t Boot_ = 1;
  bool Leaving_ = false;
  bool Draining_ = false;
  std::string Fault_ = "none";
  double FaultProbability_ = 1;
  int FaultDelayMs_ = 0;
  std::mt19937 Random_;
  HttpServer Server_;
};

} // namespace heathercross::standin
