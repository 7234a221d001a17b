// heathercrossd: the program of one entry instance.
#include "daemon/daemon.h"
#include "entry/entry.h"
#include "process/signals.h"

#include <QCoreApplication>
#include <QNetworkProxyFactory>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(settings, "", "The settings file (INI).");
DEFINE_string(deployment, "",
              "The settings file (INI) of an entry instance on the platform.");
DEFINE_bool(check, false, "Check the settings file and exit.");
DEFINE_bool(settings_help, false, "Print every settings key and exit.");

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitStartupFailed = 1;

void initLogging(const char *Program, heathercross::settings::LogLevel Level) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(Level);
  google::InitGoogleLogging(Program);
}

int run(const heathercross::settings::Settings &S, QCoreApplication &App) {
  heathercross::daemon::Daemon Entry(S);
  const heathercross::process::Signals Signals([&Entry] { Entry.stop(); });
  return App.exec();
}

int runOnPlatform(const std::string &File, int &Argc, char **Argv) {
  auto S = heathercross::entry::loadEntrySettings(File);
  if (FLAGS_check)
    return 0;
  initLogging(Argv[0], heathercross::settings::LogLevel::Warning);
  qputenv("QT_NO_GLIB", "1");
  QCoreApplication App(Argc, Argv);
  QNetworkProxyFactory::setUseSystemConfiguration(false);
  heathercross::entry::Entry Entry(std::move(S), File);
  const heathercross::process::Signals Signals([&Entry] { Entry.stop(); },
                                               [&Entry] { Entry.reload(); });
  return App.exec();
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("One entry instance of heathercross.\n"
                          "heathercrossd --settings FILE [--check]\n"
                          "heathercrossd --deployment FILE [--check]");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_settings_help) {
    std::cout << heathercross::settings::settingsHelp();
    return 0;
  }
  try {
    if (!FLAGS_deployment.empty())
      return runOnPlatform(FLAGS_deployment, Argc, Argv);
    const auto S = heathercross::settings::load(FLAGS_settings);
    if (FLAGS_check)
      return 0;
    initLogging(Argv[0], S.Log_.Level_);
    // Qt's own event dispatcher has less overhead per event than GLib's.
    qputenv("QT_NO_GLIB", "1");
    QCoreApplication App(Argc, Argv);
    // All addresses are IP addresses; the system proxy lookup would start a
    // thread.
    QNetworkProxyFactory::setUseSystemConfiguration(false);
    return run(S, App);
  } catch (const heathercross::settings::SettingsError &E) {
    for (const auto &P : E.problems())
      std::cerr << heathercross::settings::describe(P) << "\n";
    return ExitBadSettings;
  } catch (const heathercross::Error &E) {
    std::cerr << "heathercrossd: " << E.code() << ": " << E.what() << "\n";
    return ExitStartupFailed;
  }
}
