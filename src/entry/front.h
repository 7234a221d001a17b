// Requests of callers: each goes to the holder of its pool.
#pragma once

#include "entry/duties.h"
#include "entry/knowledge.h"
#include "entry/peer-calls.h"
#include "http/http-server.h"

#include <QObject>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::entry {

class Front : public QObject {
public:
  Front(Context &C, const Knowledge &K, Duties &D);

  /// A request of a caller.
  void serve(http::Request &&R, http::Responder &&To);
  /// A request of another entry.
  void servePeer(http::Request &&R, http::Responder &&To);

  /// Other holders may have become known: requests that wait for an answer of
  /// a former holder go to the present one.
  void onDuties();

  /// From now on new requests are turned away: the process is about to end.
  void close() { Closed_ = true; }

  /// Requests of callers without an answer.
  std::size_t pending() const { return Pending_; }

private:
  /// One request until it is answered.
  struct Call {
    JobCall Job_;
    http::Responder To_;
    Instant Arrived_;
    /// When the caller stops to wait.
    Instant Deadline_;
    /// An attempt may have been carried out without an answer.
    bool Uncertain_ = false;
    std::uint32_t Attempts_ = 0;
    /// The holder's epoch for which another entry was asked; none while no
    /// answer is awaited.
    std::optional<Epoch> Asked_;
    std::uint64_t ConfigurationVersion_ = 0;
    std::string Holder_;
    bool Answered_ = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  void attempt(const CallPtr &C);
  void askLocal(PoolHolder &H, const JobCall &Job, PoolHolder::Answer OnAnswer);
  void askHolder(const CallPtr &C, const schedule::KnownHolder &Holder);
  void send(const CallPtr &C, const schedule::KnownHolder &Holder);
  /// Finds out whether a holder can be reached at all.
  void checkHolder(const PoolId &Pool, const schedule::KnownHolder &Holder);
  void checked(const PoolId &Pool, const schedule::KnownHolder &Holder,
               bool Answered);
  void take(const CallPtr &C, const JobAnswer &A);
  void again(const CallPtr &C);
  void giveUp(const CallPtr &C);
  void answer(const CallPtr &C, int Status, const QJsonObject &Body,
              const std::string &Cause, Millis RetryAfter = Millis(0));

  Context &Context_;
  const Knowledge &Knowledge_;
  Duties &Duties_;
  std::size_t Pending_ = 0;
  /// Requests that wait for the answer of another entry.
  std::vector<std::weak_ptr<Call>> Asking_;
  /// When a holder's address last answered, and when it last didn't.
  struct Contact {
    Instant Heard_;
    Instant Missed_;
    bool Checking_ = false;
    /// Requests that go to the holder if it answers.
    std::vector<CallPtr> Waiting_;
  };
  std::map<std::string, Contact> Contacts_;
  bool Closed_ = false;
};

} // namespace heathercross::entry
