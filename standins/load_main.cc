// ibishold-load: callers behind a round-robin balancer, with a check of every answer.
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standins/load_run.h"

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  namespace standin = ibishold::standin;
  standin::LoadOptions load;
  standin::BalancerOptions balancing;
  std::string config;
  std::string next_topology;
  std::string out;
  options::options_description description("ibishold-load");
  description.add_options()("config", options::value(&config)->required(),
                            "folder with topology.json and vms.json")(
      "next-topology", options::value(&next_topology),
      "file with a topology that is published during the load; none")(
      "rate", options::value(&load.rate), "requests/s, 50")(
      "seconds", options::value(&load.seconds), "10")("seed", options::value(&load.seed), "1")(
      "count", options::value(&load.count), "requests after which the load ends early")(
      "deadline-ms", options::value(&load.deadline_ms), "500")(
      "execute-share", options::value(&load.execute_share), "0..1, 0.1")(
      "service", options::value(&load.services), "may repeat; all services")(
      "tenants", options::value(&load.tenants), "4")("attempts", options::value(&load.max_attempts),
                                                     "calls for one request, 3")(
      "client-latency-ms", options::value(&load.client_latency_ms), "one way, 0")(
      "crash-term", options::value(&load.crash_term), "sent once a second; none")(
      "balancer-lag-ms", options::value(&balancing.lag_ms), "1000")(
      "port", options::value(&balancing.port), "fronts' port, 8080")(
      "ready-port", options::value(&balancing.ready_port), "port of /ready, 8082")(
      "show", options::bool_switch(&load.show), "print each answer")(
      "out", options::value(&out), "file for the report; standard output");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    const auto topology = ibishold::ParseTopology(ReadFile(config + "/topology.json"));
    const auto vms = ibishold::ParseVmList(ReadFile(config + "/vms.json"));
    if (!topology.ok() || !vms.ok()) {
      throw std::runtime_error(topology.status().ToString() + " " + vms.status().ToString());
    }
    if (load.services.empty()) {
      for (const ibishold::Service& service : topology->services) {
        load.services.push_back(service.name.value);
      }
    }
    boost::asio::io_context context(1);
    standin::AnswerCheck check;
    check.AddTopology(*topology);
    if (!next_topology.empty()) {
      const auto next = ibishold::ParseTopology(ReadFile(next_topology));
      if (!next.ok()) {
        throw std::runtime_error(next.status().ToString());
      }
      check.AddTopology(*next);
    }
    standin::Balancer balancer(context, *vms, balancing);
    standin::LoadRun run(context, balancer, check, *topology, load);
    boost::asio::co_spawn(context, run.Run(),
                          [&context](const std::exception_ptr&) { context.stop(); });
    context.run();
    const std::string report = boost::json::serialize(run.Report());
    if (out.empty()) {
      std::cout << report << "\n";
    } else {
      std::ofstream(out) << report << "\n";
    }
    return run.AllRight() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "ibishold-load: " << error.what() << "\n";
    return 2;
  }
}
