// heathercross: the operators' tool.
int main() { return 0; }
