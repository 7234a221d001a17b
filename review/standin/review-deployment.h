// Entry processes, started with the command of the deploy file, and clients.
#pragma once

#include "review-record.h"
#include "review-store.h"

#include <QObject>
#include <QProcess>
#include <QTemporaryDir>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace heathercross::review {

/// The addresses of the stand-ins that an entry process talks to.
struct Platform {
  QString Store_;
  QString Machines_;
  /// Empty if no queue needs placement advice.
  QString Advice_;
};

/// Entry processes on loopback addresses with the settings of a small
/// deployment.
class Deployment : public QObject {
public:
  Deployment(Record &R, Platform P, int Count);
  ~Deployment() override;

  /// Starts all entries and waits until they are ready.
  bool start();
  std::size_t size() const { return Entries_.size(); }
  /// Sends a signal to an entry's process.
  void signal(std::size_t I, int Number);
  /// Starts the process of an entry again.
  bool restart(std::size_t I);
  /// The entry whose name begins a holder's id, such as NAME/START.
  std::size_t indexOf(const QString &Holder) const;

  using Answered = std::function<void(int Status, const QByteArray &Body)>;
  /// Sends one call of a client to an entry. Status 0 means no answer within
  /// the client's deadline.
  void call(std::size_t I, const QByteArray &Method, const QString &Path,
            const QByteArray &Body, const Answered &Done);
  /// Sends a call until it gets a 2xx, 404 or 410, at most Tries times at
  /// different entries, as a client does.
  void callWithRetries(std::size_t I, const QByteArray &Method,
                       const QString &Path, const QByteArray &Body, int Tries,
                       const Answered &Done);

private:
  struct Entry {
    QString Name_;
    quint16 Front_ = 0;
    quint16 Ready_ = 0;
    quint16 Peers_ = 0;
    std::unique_ptr<QProcess> Process_;
  };

  /// Starts all entries on new ports; false if one isn't ready in time.
  bool startAll();
  QString settings(const Entry &E) const;
  bool startProcess(Entry &E);

  Record &Record_;
  Platform Platform_;
  QTemporaryDir Folder_;
  std::vector<Entry> Entries_;
};

/// Runs the event loop for some time, or until a condition holds; returns
/// whether it does.
bool runFor(int Ms, const std::function<bool()> &Until = {});

} // namespace heathercross::review
