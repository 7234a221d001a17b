// Submits changes as tickets that are written against the view in force.
#pragma once

#include "cli/exit-code.h"
#include "cli/session.h"

#include <QJsonObject>

#include <string>

namespace heathercross::cli {

/// The view in force, fetched once, with lookups needed to write a ticket.
class CurrentView {
public:
  explicit CurrentView(Session &S) : View_(S.get("/v1/view")) {}

  /// The number of the last committed ticket.
  std::uint64_t head() const;
  /// Returns the object of a kind ("pool", "budget", "wave" or "quota") and
  /// name; empty if there is none.
  QJsonObject find(const std::string &Kind, const std::string &Name) const;
  /// Returns the number of the ticket that last changed an object, given by its
  /// key such as "wave/NAME"; zero if none did. Throws CallFailed if the reply
  /// has no versions.
  std::uint64_t versionOf(const std::string &Key) const;

private:
  QJsonObject View_;
};

/// Returns the name that identifies an object within its kind: the pool of a
/// budget, the team of a quota, otherwise the name.
std::string nameOf(const std::string &Kind, const QJsonObject &Object);

/// Returns the key of an object in tickets and views, such as "wave/NAME".
std::string objectKey(const std::string &Kind, const QJsonObject &Object);

/// Submits and prints a ticket with one change, which is written against the
/// given view. Throws CallFailed.
ExitCode submitChange(Session &S, const CurrentView &View,
                      const std::string &Kind, const QJsonObject &Object);

} // namespace heathercross::cli
