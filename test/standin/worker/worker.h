// One worker as entry instances see it, with the faults that tests switch on.
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

/// How one worker is set up.
struct WorkerOptions {
  std::string Name_;
  std::string Zone_;
  std::string Rack_;
  quint16 Port_ = 0;
  std::size_t Slots_ = 8;
  std::size_t Connections_ = 64;
  int RebootMs_ = 2000;
  /// How far its clock is ahead of this machine's.
  std::int64_t ClockOffsetMs_ = 0;
  Endpoint Platform_;
};

/// Serves the worker's interface on one port.
class Worker : public QObject {
public:
  Worker(WorkerOptions Options, HistoryFile &History);

  /// Returns false when the port is taken.
  bool start();
  quint16 port() const { return Server_.port(); }
  /// Tells the platform's instance list about this worker.
  void announce(const QByteArray &State);

private:
  /// One request that was let in.
  struct Run {
    std::string Request_;
    std::string Attempt_;
    QByteArray Body_;
    QByteArray Digest_;
    bool Keyed_ = false;
    bool Poison_ = false;
    std::int64_t Boot_ = 0;
  };

  void handle(const HttpRequest &Request, const Responder &Answer);
  HttpResponse serve(const HttpRequest &Request);
  void run(const HttpRequest &Request, const Responder &Answer);
  static int runMs(const HttpRequest &Request);
  void begin(const Run &R, int WorkMs, const Responder &Answer);
  void end(const Run &R, const Responder &Answer);
  HttpResponse answerOf(const Run &R) const;
  /// Why an attempt may not start now; empty when it may.
  std::string refusal(const HttpRequest &Request, const std::string &Attempt,
                      bool Surplus) const;
  /// Why neither a request nor a task may start now; empty when it may.
  std::string blocked() const;
  HttpResponse refuse(const std::string &Reason, const std::string &Request,
                      const std::string &Attempt);
  HttpResponse fence(const HttpRequest &Request);
  HttpResponse keptAnswer(const HttpRequest &Request) const;
  HttpResponse status() const;
  HttpResponse startTask(const HttpRequest &Request);
  HttpResponse onTask(const HttpRequest &Request);
  HttpResponse setDraining(bool Draining);
  HttpResponse setFault(const HttpRequest &Request);
  /// Goes away at once; comes back after DownMs, or never when it is 0.
  void goDown(const char *Kind, int DownMs);
  void comeBack();
  void leave();
  bool faultHits(const char *Kind);
  void record(const char *Kind, const std::string &Detail);
  std::int64_t clockMs() const;
  std::size_t busy() const { return Running_ + Tasks_.running(); }
  std::string id() const { return Options_.Name_; }

  WorkerOptions Options_;
  HistoryFile &History_;
  Attempts Attempts_;
  Tasks Tasks_;
  std::set<std::string> Current_;
  std::size_t Running_ = 0;
  std::int64_t Boot_ = 1;
  bool Leaving_ = false;
  bool Draining_ = false;
  std::string Fault_ = "none";
  double FaultShare_ = 1;
  int FaultMs_ = 0;
  std::mt19937 Random_;
  HttpServer Server_;
};

} // namespace heathercross::standin
