// A model of the placement service.
#pragma once

#include "world.h"

namespace heathercross::review {

/// Allows some of the workers that it knows for each step, always the same.
class Policy : public QObject {
public:
  Policy(World &W, qsizetype AllowedPerStep, int EachMs = 1);

  QString address() const {
    return QString("127.0.0.1:%1").arg(Server_.port());
  }
  void add(const QString &Worker) { Known_.push_back(Worker); }

private:
  /// The workers that may run a step.
  QStringList allowed(const QString &Step) const;
  void serve(const standin::HttpRequest &R, const standin::Responder &To);

  World &World_;
  qsizetype AllowedPerStep_;
  int EachMs_;
  QStringList Known_;
  standin::HttpServer Server_;
};

} // namespace heathercross::review
