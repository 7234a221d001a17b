// Model workers that keep the rules of the platform's protocol.
#pragma once

#include "model-store.h"

#include <QTimer>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace heathercross::review {

/// Appends a line to the case's record.
using Recorder = std::function<void(const QString &)>;

/// One worker: it keeps a fence, a lease, runs and unacknowledged ends. A
/// task's spec is its run time in milliseconds; with "fail " in front of it,
/// the run ends as failed.
class Worker : public QObject {
public:
  Worker(QString Id, QString Service, Recorder Record);

  const QString &id() const { return Id_; }
  const QString &service() const { return Service_; }
  /// The row by which the worker registers itself.
  QByteArray registration(bool Draining = false) const;
  std::size_t runs() const { return Runs_.size(); }
  /// The spec of each task that was started, by its name.
  const std::map<QString, QString> &specs() const { return Specs_; }
  /// Tasks that run now.
  std::vector<QString> running() const;
  /// Ends the process: nothing listens at its address any more.
  void leave();

private:
  struct Run {
    QString Task_;
    std::int64_t Attempt_ = 0;
    std::chrono::steady_clock::time_point Started_;
    std::chrono::milliseconds Duration_{0};
  };
  struct End {
    std::int64_t Number_ = 0;
    QString Task_;
    std::int64_t Attempt_ = 0;
    QString How_;
  };
  struct Waiter {
    std::uint64_t Number_ = 0;
    standin::Responder To_;
  };

  void serve(const standin::HttpRequest &R, const standin::Responder &To);
  void start(const QJsonObject &O, const standin::Responder &To);
  void stop(const QJsonObject &O, const standin::Responder &To);
  void hold(const QJsonObject &O, const standin::Responder &To);
  void end(std::uint64_t Number, const QString &How);
  void checkLease();
  standin::HttpResponse answer(QJsonObject Body, int Status = 200) const;
  standin::HttpResponse report() const;
  std::int64_t clockMs() const;

  QString Id_;
  QString Service_;
  Recorder Record_;
  std::chrono::steady_clock::time_point Began_;
  std::int64_t Born_ = 0;
  std::int64_t Fence_ = 0;
  std::int64_t LeaseUntil_ = 0;
  std::map<std::uint64_t, Run> Runs_;
  std::uint64_t LastRun_ = 0;
  std::map<QString, QString> Specs_;
  /// The highest attempt that was stopped or ended, by task.
  std::map<QString, std::int64_t> Closed_;
  std::deque<End> Ends_;
  std::int64_t LastEnd_ = 0;
  std::vector<Waiter> Waiting_;
  std::uint64_t LastWaiter_ = 0;
  QTimer LeaseTimer_;
  standin::HttpServer Server_;
};

} // namespace heathercross::review
