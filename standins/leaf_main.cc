// standin-leaf: many upstream leaves in one process, one TCP port for each (design section 4.2).
//
// Admin API: POST /admin/{action} with {"leaves":[ids]} (all leaves if absent) and, by action:
//   stop, start, crash, silence
//   drain, announce-out   {"on":bool}
//   advance               {"version":V}
//   options               members of LeafOptions
//   topology              {"topology":{...}} with a new partition map
// GET /admin/records returns what the leaves saw.
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standins/leaf_admin.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  namespace standin = ibishold::standin;
  std::string topology_file;
  std::string data_centre;
  std::string admin_address;
  std::uint16_t admin_port = 9100;
  bool warm = false;
  std::vector<std::string> settings;
  std::uint64_t seed = 1;
  options::options_description description("standin-leaf");
  description.add_options()("topology", options::value(&topology_file)->required(), "document")(
      "data-centre", options::value(&data_centre), "serve only the leaves of this data centre")(
      "admin-address", options::value(&admin_address)->required(), "IP address")(
      "admin-port", options::value(&admin_port), "port, 9100")("warm", options::bool_switch(&warm),
                                                               "start as if up for an hour")(
      "seed", options::value(&seed), "seed, 1")("set", options::value(&settings),
                                                "NAME=VALUE, a member of LeafOptions; may repeat");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    std::ifstream file(topology_file);
    std::stringstream text;
    text << file.rdbuf();
    const auto topology = ibishold::ParseTopology(text.str());
    if (!topology.ok()) {
      throw std::runtime_error(topology.status().ToString());
    }
    standin::LeafOptions leaf_options{.seed = seed};
    for (const std::string& setting : settings) {
      const std::size_t mark = setting.find('=');
      leaf_options.Update({{setting.substr(0, mark), std::stod(setting.substr(mark + 1))}});
    }
    boost::asio::io_context context(1);
    standin::LeafAdmin admin(context, *topology, data_centre, leaf_options, warm);
    standin::Serve(context, admin_address, admin_port,
                   [&admin](const standin::HttpRequest& request) { return admin.Handle(request); });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "standin-leaf: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
